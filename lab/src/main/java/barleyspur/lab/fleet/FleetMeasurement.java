package barleyspur.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/** {@code fleet measure}: what the view costs and how soon it knows, by the size of the fleet, in virtual time. */
public final class FleetMeasurement {

    private static final double CALM_MS = 20_000;
    private static final int MOST_FOR_LOSS = 100;
    /** News of a start that are surely told within one calm time. */
    private static final int NEWS_IN_CALM = 250;

    private FleetMeasurement() {}

    private static VirtualFleet start(int members, MembershipMonitor watch) {
        FaultSchedule schedule =
                new FaultSchedule("measure", members, members, List.of(0, 1), 500, List.of(), 60_000, 1);
        VirtualFleet fleet = new VirtualFleet(schedule, watch, members <= FleetRunCommand.MOST_ENCODED);
        fleet.begin();
        return fleet;
    }

    private static double untilSettled(VirtualFleet fleet, double mostMs) {
        double from = fleet.nowMs;
        while (fleet.settled() != null) {
            if (fleet.nowMs - from > mostMs) {
                return Double.POSITIVE_INFINITY;
            }
            fleet.playTo(fleet.nowMs + 50);
        }
        return (fleet.nowMs - from) / 1e3;
    }

    private static long sent(VirtualFleet fleet) {
        return fleet.processes().stream().mapToLong(p -> p.sentBytes).sum();
    }

    /** Prints a row of figures for each size. */
    public static void print(List<Integer> sizes) {
        System.out.println(
                "members  join s  calm B/s  known s  settled s  split s  heal s  heal KB  real ms/virtual s");
        for (int n : sizes) {
            MembershipMonitor watch = new MembershipMonitor(true);
            VirtualFleet fleet = start(n, watch);
            double join = untilSettled(fleet, 120_000);
            // News of so many joins are told for a while: bounded by the round, not by how many there are.
            fleet.playTo(fleet.nowMs + CALM_MS * Math.max(1, n / NEWS_IN_CALM));
            long before = sent(fleet);
            long nanos = System.nanoTime();
            double from = fleet.nowMs;
            fleet.playTo(from + CALM_MS);
            double real = (System.nanoTime() - nanos) / 1e6 / (CALM_MS / 1e3);
            double calm = (sent(fleet) - before) / (CALM_MS / 1e3) / n;
            double killed = fleet.nowMs;
            watch.all().clear();
            fleet.apply(new Fault.Kill(Set.of(n - 1)));
            double settled = untilSettled(fleet, 120_000);
            double known = watch.all().stream()
                            .filter(t -> t.kind().equals("Lost"))
                            .mapToDouble(MembershipMonitor.ReportedChange::atMs)
                            .min()
                            .orElse(Double.NaN)
                    - killed;
            fleet.apply(new Fault.Split(List.of(FaultSchedule.slotRange(0, n / 2), FaultSchedule.slotRange(n / 2, n))));
            double split = untilSettled(fleet, 240_000);
            before = sent(fleet);
            fleet.apply(new Fault.Heal());
            double heal = untilSettled(fleet, 120_000);
            System.out.printf(
                    Locale.ROOT,
                    "%7d  %6.2f  %8.0f  %7.2f  %9.2f  %7.2f  %6.2f  %7.1f  %8.1f%n",
                    n,
                    join,
                    calm,
                    known / 1e3,
                    settled,
                    split,
                    heal,
                    (sent(fleet) - before) / 1e3 / n,
                    real);
        }
    }

    /** Prints false verdicts by member and hour under loss, slowness and a one-way cut. */
    public static void printVerdicts(int members, int minutes) {
        int n = Math.min(MOST_FOR_LOSS, members);
        System.out.println(
                "members  minutes  what                              false verdicts  a member and hour  suspicions");
        for (double loss : new double[] {0, 0.1, 0.3}) {
            row(
                    n,
                    minutes,
                    String.format(Locale.ROOT, "%.0f%% loss", 100 * loss),
                    new Fault.Weather(
                            FaultSchedule.slotRange(0, n),
                            FaultSchedule.slotRange(0, n),
                            new Fault.Noise(loss, 20, 0, 0)));
        }
        row(n, minutes, "a third at a fifth of a core", new Fault.Starve(FaultSchedule.slotRange(0, n / 3), 0.2));
        row(n, minutes, "one at a tenth of a core", new Fault.Starve(Set.of(1), 0.1));
        row(n, minutes, "one link cut one way", new Fault.Cut(Set.of(0), Set.of(1), false));
    }

    private static void row(int n, int minutes, String what, Fault fault) {
        MembershipMonitor watch = new MembershipMonitor(true);
        VirtualFleet fleet = start(n, watch);
        fleet.playTo(10_000);
        watch.all().clear();
        fleet.apply(fault);
        fleet.playTo(10_000 + minutes * 60_000.0);
        long wrong = watch.all().stream().filter(t -> t.kind().equals("Lost")).count();
        long suspicions =
                watch.all().stream().filter(t -> t.standing().equals("SUSPECT")).count();
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %-32s  %14d  %17.4f  %10d%n",
                n,
                minutes,
                what,
                wrong,
                wrong / (double) n / (minutes / 60.0),
                suspicions);
    }
}
