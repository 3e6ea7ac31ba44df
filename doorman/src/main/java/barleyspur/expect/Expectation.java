package barleyspur.expect;

import java.util.List;
import java.util.Set;

/**
 * One thing that must hold of routing.
 *
 * @param name  unique among all that are checked together
 * @param place where it stands, as {@code FILE:LINE}
 * @param fleets of which fleets it speaks, by name; empty: of all
 * @param cases  of which cases, likewise
 * @param loads  at which loads, likewise
 * @param given which moments it speaks of
 * @param after the change that opens a window for it, or null: it speaks of all moments
 */
public record Expectation(
        String name,
        String about,
        String place,
        Set<String> fleets,
        Set<String> cases,
        Set<String> loads,
        Condition given,
        Form form,
        After after) {

    /** What must hold. */
    public sealed interface Form permits Must, Never, Share, Eventually, Count, Figures {
        /** What is to hold. */
        Condition that();
    }

    /** Of each moment. */
    public record Must(Condition that) implements Form {}

    /** Of no moment. */
    public record Never(Condition that) implements Form {}

    /** Of at least and at most such a share of all moments of all scenarios. */
    public record Share(Condition that, double least, double most) implements Form {}

    /**
     * Of at least one moment of each window that has lasted.
     *
     * @param chances a window with fewer moments shows nothing
     */
    public record Eventually(Condition that, int chances) implements Form {}

    /** What a count goes by. */
    public enum Per {
        REQUEST,
        OBJECT,
        BOX,
        STATION,
        SCENARIO
    }

    /** What is counted. */
    public enum Of {
        ATTEMPTS,
        TARGETS,
        SOURCES
    }

    /**
     * The number of attempts, or of different targets or sources, that moments share.
     *
     * @param least counted at the scenario's end, where there were moments at all
     */
    public record Count(Of of, Per per, double least, double most, Condition that) implements Form {}

    /** One of the settings' figures: what it is and what it is to be. */
    public record Figure(double value, Condition.Range wanted, String place, String text) {}

    /** Of the settings themselves: nothing needs to be played. */
    public record Figures(List<Figure> figures) implements Form {
        @Override
        public Condition that() {
            return new Condition.All(List.of());
        }

        /** Those that are not what they are to be. */
        public List<Figure> broken() {
            return figures.stream().filter(f -> !f.wanted().matches(f.value())).toList();
        }
    }

    /**
     * A window that a change opens for the box it is about: at the doorman that was told, or at all where it happens.
     *
     * @param told     the changes of the list that open it
     * @param happens  the faults that open it
     * @param roles    of which boxes; empty: all
     * @param own      whether only boxes of the doorman's own station count, where a doorman is told
     * @param fromMs   it begins so long after the change
     * @param byMs     and ends so long after it
     * @param until    what a doorman is told of the same box that closes it early
     */
    public record After(
            Set<Moment.Told> told,
            boolean started,
            Set<Fault.Kind> happens,
            Set<Site.Role> roles,
            boolean own,
            double fromMs,
            double byMs,
            Set<Moment.Told> until) {}

    /** Attempts or answers; attempts where nothing tells. */
    Condition.Kind kind() {
        Condition.Kind kind = new Condition.All(List.of(given, form.that())).kind();
        return kind == Condition.Kind.ANY ? Condition.Kind.ATTEMPT : kind;
    }
}
