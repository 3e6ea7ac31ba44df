package barleyspur.expect;

import java.util.List;
import java.util.Set;

/**
 * An operator's requirement on routing, as an {@code expectation} block of the expectation files states it.
 *
 * @param name         unique among the expectations that are checked together
 * @param description  the operator's description
 * @param location     location in the expectation files, as {@code FILE:LINE}
 * @param deployments  names of the deployments to which it applies; empty: all
 * @param cases        names of the fault scripts to which it applies; empty: all
 * @param workloads    names of the workloads to which it applies; empty: all
 * @param precondition selects the events to which it applies
 * @param requirement  what must hold for these events
 * @param window       limits it to events after a change; null: no limit
 */
public record Expectation(
        String name,
        String description,
        String location,
        Set<String> deployments,
        Set<String> cases,
        Set<String> workloads,
        Condition precondition,
        Requirement requirement,
        Window window) {

    /** What an expectation requires of the events that its precondition selects. */
    public sealed interface Requirement permits Must, Never, Share, Eventually, Count, SettingRanges {
        /** The condition on each event; always true for requirements on the settings. */
        Condition condition();
    }

    /** The condition must hold for every event. */
    public record Must(Condition condition) implements Requirement {}

    /** The condition must hold for no event. */
    public record Never(Condition condition) implements Requirement {}

    /** The share of events, over all scenarios, for which the condition holds must be within bounds. */
    public record Share(Condition condition, double min, double max) implements Requirement {}

    /**
     * The condition must hold for at least one event of each completed window.
     *
     * @param minEvents an unsatisfied window with fewer events is ignored
     */
    public record Eventually(Condition condition, int minEvents) implements Requirement {}

    /** The scope within which is counted. */
    public enum CountScope {
        REQUEST,
        OBJECT,
        BOX,
        STATION,
        SCENARIO
    }

    /** What is counted. */
    public enum CountedItem {
        ATTEMPTS,
        TARGETS,
        SOURCES
    }

    /**
     * The number of attempts, or of distinct targets or sources, within a scope must be within bounds.
     *
     * @param min evaluated at the end of the scenario, for scopes with at least one event
     */
    public record Count(CountedItem item, CountScope scope, double min, double max, Condition condition)
            implements Requirement {}

    /** The value of a setting and the range that is allowed for it. */
    public record SettingRange(double value, Condition.Range allowed, String location, String text) {}

    /** Settings must be within ranges; this needs no simulation. */
    public record SettingRanges(List<SettingRange> settings) implements Requirement {
        @Override
        public Condition condition() {
            return new Condition.AllOf(List.of());
        }

        /** The settings that are out of range. */
        public List<SettingRange> violated() {
            return settings.stream()
                    .filter(setting -> !setting.allowed().matches(setting.value()))
                    .toList();
        }
    }

    /**
     * A time window that a change of a box opens: a list update opens it for the doorman that gets the update, a fault
     * for all doormans.
     *
     * @param listedStates   states in list updates that open the window
     * @param onStart        whether a start that the list reports opens the window
     * @param faults         faults that open the window
     * @param roles          roles of the boxes; empty: all
     * @param ownStationOnly whether list updates count only for boxes in the doorman's own station
     * @param opensAfterMs   delay between the change and the start of the window
     * @param closesAfterMs  delay between the change and the end of the window
     * @param closingStates  states in list updates of the same box that close the window early
     */
    public record Window(
            Set<RoutingEvent.ListedState> listedStates,
            boolean onStart,
            Set<Fault.Kind> faults,
            Set<Deployment.Role> roles,
            boolean ownStationOnly,
            double opensAfterMs,
            double closesAfterMs,
            Set<RoutingEvent.ListedState> closingStates) {}

    /** The kind of events to which it applies: attempts, unless a test needs an answer. */
    Condition.EventKind eventKind() {
        Condition.EventKind eventKind = new Condition.AllOf(List.of(precondition, requirement.condition())).eventKind();
        return eventKind == Condition.EventKind.ANY ? Condition.EventKind.ATTEMPT : eventKind;
    }
}
