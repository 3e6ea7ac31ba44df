package barleyspur.expect;

import java.util.List;
import java.util.Set;

/**
 * One thing that must hold of routing.
 *
 * @param name  unique among all that are checked together
 * @param location where it stands, as {@code FILE:LINE}
 * @param deployments of which fleets it speaks, by name; empty: of all
 * @param cases  of which cases, likewise
 * @param workloads  at which loads, likewise
 * @param precondition which moments it speaks of
 * @param window the change that opens a window for it, or null: it speaks of all moments
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

    /** What must hold. */
    public sealed interface Requirement permits Must, Never, Share, Eventually, Count, SettingRanges {
        /** What is to hold. */
        Condition condition();
    }

    /** Of each moment. */
    public record Must(Condition condition) implements Requirement {}

    /** Of no moment. */
    public record Never(Condition condition) implements Requirement {}

    /** Of at least and at most such a share of all moments of all scenarios. */
    public record Share(Condition condition, double min, double max) implements Requirement {}

    /**
     * Of at least one moment of each window that has lasted.
     *
     * @param minEvents a window with fewer moments shows nothing
     */
    public record Eventually(Condition condition, int minEvents) implements Requirement {}

    /** What a count goes by. */
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
     * The number of attempts, or of different targets or sources, that moments share.
     *
     * @param min counted at the scenario's end, where there were moments at all
     */
    public record Count(CountedItem item, CountScope scope, double min, double max, Condition condition)
            implements Requirement {}

    /** One of the settings' figures: what it is and what it is to be. */
    public record SettingRange(double value, Condition.Range allowed, String location, String text) {}

    /** Of the settings themselves: nothing needs to be played. */
    public record SettingRanges(List<SettingRange> settings) implements Requirement {
        @Override
        public Condition condition() {
            return new Condition.AllOf(List.of());
        }

        /** Those that are not what they are to be. */
        public List<SettingRange> violated() {
            return settings.stream()
                    .filter(f -> !f.allowed().matches(f.value()))
                    .toList();
        }
    }

    /**
     * A window that a change opens for the box it is about: at the doorman that was told, or at all where it happens.
     *
     * @param listedStates     the changes of the list that open it
     * @param faults  the faults that open it
     * @param roles    of which boxes; empty: all
     * @param ownStationOnly      whether only boxes of the doorman's own station count, where a doorman is told
     * @param opensAfterMs   it begins so long after the change
     * @param closesAfterMs     and ends so long after it
     * @param closingStates    what a doorman is told of the same box that closes it early
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

    /** Attempts or answers; attempts where nothing tells. */
    Condition.EventKind eventKind() {
        Condition.EventKind eventKind = new Condition.AllOf(List.of(precondition, requirement.condition())).eventKind();
        return eventKind == Condition.EventKind.ANY ? Condition.EventKind.ATTEMPT : eventKind;
    }
}
