package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Shrinks a schedule that violates an invariant: removes steps as long as the rest still violates one. */
final class Shrinker {

    private Shrinker() {}

    /** Runs a schedule in virtual time and returns its violations of the membership's invariants. */
    static List<String> violations(FaultSchedule schedule) {
        MembershipMonitor monitor = new MembershipMonitor(false);
        new VirtualFleet(schedule, monitor, schedule.slotCount() <= FleetRunCommand.MAX_ENCODED_SLOTS).run();
        return monitor.violations();
    }

    /** Runs a random schedule in virtual time and returns its violations. */
    static List<String> broken(int doormans, int faults, long seed) {
        return violations(FaultSchedule.random(doormans, faults, 500, 30_000, seed));
    }

    /** Shrinks a schedule that violates an invariant of the membership in virtual time. */
    static FaultSchedule shrink(FaultSchedule schedule) {
        return shrink(schedule, candidate -> !violations(candidate).isEmpty());
    }

    /**
     * Shrinks a schedule.
     *
     * @param violates returns whether a schedule still violates an invariant
     */
    static FaultSchedule shrink(FaultSchedule schedule, Predicate<FaultSchedule> violates) {
        List<FaultSchedule.Step> steps = new ArrayList<>(schedule.steps());
        for (int chunkSize = Math.max(1, steps.size() / 2); chunkSize >= 1; chunkSize /= 2) {
            for (int from = 0; from + chunkSize <= steps.size(); ) {
                List<FaultSchedule.Step> candidate = new ArrayList<>(steps);
                candidate.subList(from, from + chunkSize).clear();
                if (violates.test(schedule.with(candidate))) {
                    steps = candidate;
                } else {
                    from++;
                }
            }
        }
        return schedule.with(steps);
    }
}
