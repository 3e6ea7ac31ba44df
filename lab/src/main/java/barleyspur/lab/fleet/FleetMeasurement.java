package barleyspur.lab.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The command {@code fleet measure}: cost and detection times of the membership by fleet size, in virtual time. */
public final class FleetMeasurement {

    private static final double STEADY_STATE_MS = 20_000;
    private static final int MAX_MEMBERS_FOR_LOSS = 100;
    /** Number of joins whose gossip has surely ended within one {@link #STEADY_STATE_MS}. */
    private static final int JOINS_PER_STEADY_STATE = 250;

    private FleetMeasurement() {}

    private static VirtualFleet startFleet(int members, MembershipMonitor monitor) {
        FaultSchedule schedule =
                new FaultSchedule("measure", members, members, List.of(0, 1), 500, List.of(), 60_000, 1);
        VirtualFleet fleet = new VirtualFleet(schedule, monitor, members <= FleetRunCommand.MAX_ENCODED_SLOTS);
        fleet.startInitialProcesses();
        return fleet;
    }

    private static double secondsUntilSettled(VirtualFleet fleet, double timeoutMs) {
        double fromMs = fleet.nowMs;
        while (fleet.unsettledReason() != null) {
            if (fleet.nowMs - fromMs > timeoutMs) {
                return Double.POSITIVE_INFINITY;
            }
            fleet.runUntil(fleet.nowMs + 50);
        }
        return (fleet.nowMs - fromMs) / 1e3;
    }

    private static long sentBytes(VirtualFleet fleet) {
        return fleet.allProcesses().stream().mapToLong(p -> p.sentBytes).sum();
    }

    /** Prints a row of measurements for each size. */
    public static void print(List<Integer> sizes) {
        System.out.println(
                "members  join s  idle B/s  detect s  settle s  split s  heal s  heal KB  real ms/virtual s");
        for (int members : sizes) {
            MembershipMonitor monitor = new MembershipMonitor(true);
            VirtualFleet fleet = startFleet(members, monitor);
            double joinS = secondsUntilSettled(fleet, 120_000);
            // Gossip about so many joins goes on for a while: each round carries a bounded number of records.
            fleet.runUntil(fleet.nowMs + STEADY_STATE_MS * Math.max(1, members / JOINS_PER_STEADY_STATE));
            long sentBefore = sentBytes(fleet);
            long startNanos = System.nanoTime();
            double fromMs = fleet.nowMs;
            fleet.runUntil(fromMs + STEADY_STATE_MS);
            double realMsPerS = (System.nanoTime() - startNanos) / 1e6 / (STEADY_STATE_MS / 1e3);
            double steadyBytesPerS = (sentBytes(fleet) - sentBefore) / (STEADY_STATE_MS / 1e3) / members;
            double killedMs = fleet.nowMs;
            monitor.allChanges().clear();
            fleet.apply(new Fault.Kill(Set.of(members - 1)));
            double settledS = secondsUntilSettled(fleet, 120_000);
            double detectionMs = monitor.allChanges().stream()
                            .filter(t -> t.kind().equals("Lost"))
                            .mapToDouble(MembershipMonitor.ReportedChange::timeMs)
                            .min()
                            .orElse(Double.NaN)
                    - killedMs;
            fleet.apply(new Fault.Split(
                    List.of(FaultSchedule.slotRange(0, members / 2), FaultSchedule.slotRange(members / 2, members))));
            double splitS = secondsUntilSettled(fleet, 240_000);
            sentBefore = sentBytes(fleet);
            fleet.apply(new Fault.Heal());
            double healS = secondsUntilSettled(fleet, 120_000);
            System.out.printf(
                    Locale.ROOT,
                    "%7d  %6.2f  %8.0f  %7.2f  %9.2f  %7.2f  %6.2f  %7.1f  %8.1f%n",
                    members,
                    joinS,
                    steadyBytesPerS,
                    detectionMs / 1e3,
                    settledS,
                    splitS,
                    healS,
                    (sentBytes(fleet) - sentBefore) / 1e3 / members,
                    realMsPerS);
        }
    }

    /** Prints the false positives per member and hour under loss, slowness and a one-way cut. */
    public static void printFalsePositives(int members, int minutes) {
        int fleetSize = Math.min(MAX_MEMBERS_FOR_LOSS, members);
        System.out.println(
                "members  minutes  fault                            false positives    per member-hour  suspicions");
        for (double loss : new double[] {0, 0.1, 0.3}) {
            printRow(
                    fleetSize,
                    minutes,
                    String.format(Locale.ROOT, "%.0f%% loss", 100 * loss),
                    new Fault.Weather(
                            FaultSchedule.slotRange(0, fleetSize),
                            FaultSchedule.slotRange(0, fleetSize),
                            new Fault.Noise(loss, 20, 0, 0)));
        }
        printRow(
                fleetSize,
                minutes,
                "a third at a fifth of a core",
                new Fault.Starve(FaultSchedule.slotRange(0, fleetSize / 3), 0.2));
        printRow(fleetSize, minutes, "one at a tenth of a core", new Fault.Starve(Set.of(1), 0.1));
        printRow(fleetSize, minutes, "one link cut one way", new Fault.Cut(Set.of(0), Set.of(1), false));
    }

    private static void printRow(int members, int minutes, String description, Fault fault) {
        MembershipMonitor monitor = new MembershipMonitor(true);
        VirtualFleet fleet = startFleet(members, monitor);
        fleet.runUntil(10_000);
        monitor.allChanges().clear();
        fleet.apply(fault);
        fleet.runUntil(10_000 + minutes * 60_000.0);
        long falsePositives = monitor.allChanges().stream()
                .filter(t -> t.kind().equals("Lost"))
                .count();
        long suspicions = monitor.allChanges().stream()
                .filter(t -> t.state().equals("SUSPECT"))
                .count();
        System.out.printf(
                Locale.ROOT,
                "%7d  %7d  %-32s  %14d  %17.4f  %10d%n",
                members,
                minutes,
                description,
                falsePositives,
                falsePositives / (double) members / (minutes / 60.0),
                suspicions);
    }
}
