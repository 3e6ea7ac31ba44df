package barleyspur.lab.fleet;

import java.util.List;
import java.util.Set;

/**
 * A fault that a schedule injects. A slot is a place for one process, with its own address. Slots are numbered from 0,
 * and the process in slot 0 is called {@code d1} unless it is started under another name. The names of these records
 * and of their components are printed in progress lines and reports.
 */
public sealed interface Fault {

    /** Sends SIGKILL. */
    record Kill(Set<Integer> slots) implements Fault {}

    /** Pauses processes by SIGSTOP. */
    record Freeze(Set<Integer> slots) implements Fault {}

    /** Resumes paused processes by SIGCONT. */
    record Thaw(Set<Integer> slots) implements Fault {}

    /** Sends SIGTERM, so that processes leave the fleet and end. */
    record Term(Set<Integer> slots) implements Fault {}

    /** Quiesces doormans, or resumes them. */
    record Quiesce(Set<Integer> slots, boolean on) implements Fault {}

    /**
     * Starts processes in slots where none runs.
     *
     * @param name    the process's name; empty for the name of its slot
     * @param clockMs offset of its wall clock
     * @param format  the newest format of datagrams that it supports
     */
    record Start(Set<Integer> slots, String name, double clockMs, int format) implements Fault {}

    /** Cuts the links in one direction only, or restores them. */
    record Cut(Set<Integer> from, Set<Integer> to, boolean mended) implements Fault {}

    /** Partitions the network into groups; a slot that is in no group is isolated. */
    record Split(List<Set<Integer>> groups) implements Fault {}

    /** Ends all cuts and partitions. */
    record Heal() implements Fault {}

    /** Sets the noise on the links in one direction. */
    record Weather(Set<Integer> from, Set<Integer> to, Noise noise) implements Fault {}

    /**
     * Changes a budget's capacity in the settings of all running processes, by a reload, and of those started later.
     */
    record Whole(String budget, long whole) implements Fault {}

    /** Limits processes to a share of a core; 1 ends the limit. */
    record Starve(Set<Integer> slots, double share) implements Fault {}

    /**
     * Noise on the datagrams of a link.
     *
     * @param loss    probability of loss
     * @param delayMs longest delay; each datagram's delay is random, so that datagrams are reordered
     * @param twice   probability of duplication
     * @param garbage probability of corruption
     */
    record Noise(double loss, double delayMs, double twice, double garbage) {
        static final Noise NONE = new Noise(0, 0, 0, 0);
    }
}
