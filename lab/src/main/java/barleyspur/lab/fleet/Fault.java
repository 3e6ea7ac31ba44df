package barleyspur.lab.fleet;

import java.util.List;
import java.util.Set;

/**
 * What a schedule does to a fleet. A slot is a place for a process, with an address of its own, numbered from 0; slot 0
 * is {@code d1} unless a process is started there under another name.
 */
public sealed interface Fault {

    /** SIGKILL. */
    record Kill(Set<Integer> slots) implements Fault {}

    /** SIGSTOP. */
    record Freeze(Set<Integer> slots) implements Fault {}

    /** SIGCONT. */
    record Thaw(Set<Integer> slots) implements Fault {}

    /** SIGTERM. */
    record Term(Set<Integer> slots) implements Fault {}

    /** The operators quiesce it, or take that back. */
    record Quiesce(Set<Integer> slots, boolean on) implements Fault {}

    /**
     * A process is started where none is.
     *
     * @param name    it goes by; empty: its slot's
     * @param clockMs what its wall clock is off by
     * @param format  the newest format of datagrams that it speaks
     */
    record Start(Set<Integer> slots, String name, double clockMs, int format) implements Fault {}

    /** Nothing that these send comes to those, or again: one way. */
    record Cut(Set<Integer> from, Set<Integer> to, boolean mended) implements Fault {}

    /** Nothing passes between groups; whoever is in none is alone. */
    record Split(List<Set<Integer>> groups) implements Fault {}

    /** All cuts and splits are over. */
    record Heal() implements Fault {}

    /** What happens on the way from these to those, from now on. */
    record Weather(Set<Integer> from, Set<Integer> to, Noise noise) implements Fault {}

    /** The settings of all that run, and of who starts later, get another whole of a budget, by a reload. */
    record Whole(String budget, long whole) implements Fault {}

    /** These get a share of a core from now on: 1 is all of it. */
    record Starve(Set<Integer> slots, double share) implements Fault {}

    /**
     * What becomes of datagrams on one way.
     *
     * @param loss    share that is lost
     * @param delayMs longest delay; each datagram's is drawn, so that they overtake one another
     * @param twice   share that comes twice
     * @param garbage share of which some bytes are changed
     */
    record Noise(double loss, double delayMs, double twice, double garbage) {
        static final Noise NONE = new Noise(0, 0, 0, 0);
    }
}
