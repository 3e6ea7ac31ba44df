package barleyspur.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Makes a schedule that breaks a promise smaller: leaves out steps for as long as what is left still breaks one. */
final class Shrinker {

    private Shrinker() {}

    /** What a schedule breaks when it is played in virtual time. */
    static List<String> broken(FaultSchedule schedule) {
        MembershipMonitor watch = new MembershipMonitor(false);
        new VirtualFleet(schedule, watch, schedule.slotCount() <= FleetRunCommand.MOST_ENCODED).play();
        return watch.broken();
    }

    /** The same of a random schedule that its seed tells. */
    static List<String> broken(int doormans, int faults, long seed) {
        return broken(FaultSchedule.random(doormans, faults, 500, 30_000, seed));
    }

    static FaultSchedule shrink(FaultSchedule schedule) {
        return shrink(schedule, s -> !broken(s).isEmpty());
    }

    /** @param breaks whether a schedule still breaks a promise */
    static FaultSchedule shrink(FaultSchedule schedule, Predicate<FaultSchedule> breaks) {
        List<FaultSchedule.Step> steps = new ArrayList<>(schedule.steps());
        for (int size = Math.max(1, steps.size() / 2); size >= 1; size /= 2) {
            for (int from = 0; from + size <= steps.size(); ) {
                List<FaultSchedule.Step> fewer = new ArrayList<>(steps);
                fewer.subList(from, from + size).clear();
                if (breaks.test(schedule.with(fewer))) {
                    steps = fewer;
                } else {
                    from++;
                }
            }
        }
        return schedule.with(steps);
    }
}
