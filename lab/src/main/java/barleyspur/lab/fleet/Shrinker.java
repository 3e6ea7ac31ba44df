package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Makes a schedule that breaks a promise smaller: leaves out steps for as long as what is left still breaks one. */
final class Shrinker {

    private Shrinker() {}

    /** What a schedule breaks when it is played in virtual time. */
    static List<String> violations(FaultSchedule schedule) {
        MembershipMonitor monitor = new MembershipMonitor(false);
        new VirtualFleet(schedule, monitor, schedule.slotCount() <= FleetRunCommand.MAX_ENCODED_SLOTS).run();
        return monitor.violations();
    }

    /** The same of a random schedule that its seed tells. */
    static List<String> broken(int doormans, int faults, long seed) {
        return violations(FaultSchedule.random(doormans, faults, 500, 30_000, seed));
    }

    static FaultSchedule shrink(FaultSchedule schedule) {
        return shrink(schedule, candidate -> !violations(candidate).isEmpty());
    }

    /** @param violates whether a schedule still breaks a promise */
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
