package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import barleyspur.budget.BudgetKind;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The command {@code budget measure}: used capacity, recovery time after a crash and traffic by size of the fleet and
 * kind of load, in virtual time.
 */
final class BudgetMeasurement {

    private static final double LEASE_MS = 4_000;
    private static final double LEADER_LEASE_MS = 1_500;
    private static final double WARM_UP_MS = 15_000;
    private static final double MEASURED_MS = 20_000;

    private BudgetMeasurement() {}

    private static BudgetSimulation simulation(int doormans, long capacity, BudgetSimulation.Demand demand) {
        BudgetConfig config = new BudgetConfig(
                BudgetSimulation.voterAddresses(Math.min(3, doormans)),
                doormans,
                LEADER_LEASE_MS,
                500,
                50,
                Map.of(
                        "calls",
                        new BudgetConfig.Budget(
                                "calls", BudgetKind.RATE, capacity, Math.max(doormans, capacity), 0, 1, LEASE_MS)));
        FaultSchedule schedule = new FaultSchedule("measure", doormans, doormans, List.of(0), 500, List.of(), 0, 1);
        return new BudgetSimulation(schedule, config, BudgetCommands.MAX_CLOCK_DRIFT, List.of("calls:s0"), demand);
    }

    /** Returns the part of the capacity that would be used if each doorman had a fixed equal part. */
    private static double fixedPartsUse(int doormans, double[] demandPerS, double capacity) {
        double allowedPerS = 0;
        for (double demand : demandPerS) {
            allowedPerS += Math.min(demand, capacity / doormans);
        }
        return allowedPerS / capacity;
    }

    /** Prints a row for each size. */
    static void print(List<Integer> sizes) {
        System.out.println("doormans  load      in use  fixed parts  Jain  msgs/s per doorman  "
                + "real ms/virtual s  recovery s after kill");
        for (int doormans : sizes) {
            long capacity = 20L * doormans;
            Map<String, BudgetSimulation.Demand> loads = new TreeMap<>();
            loads.put("even", (b, slot, now) -> 30);
            loads.put("skewed", (b, slot, now) -> slot < Math.max(1, doormans / 3) ? 90 : 2);
            loads.put("jumping", (b, slot, now) -> slot % 3 == (int) (now / 1_000) % 3 ? 90 : 2);
            loads.forEach((name, demand) -> printRow(doormans, capacity, name, demand));
        }
    }

    private static void printRow(int doormans, long capacity, String name, BudgetSimulation.Demand demand) {
        BudgetSimulation simulation = simulation(doormans, capacity, demand);
        simulation.startInitialProcesses();
        simulation.runUntil(WARM_UP_MS);
        long sentBefore = simulation.sentMessages;
        long arrivalsBefore = simulation.box("calls:s0").arrivals;
        Map<Integer, Long> arrivalsBySlotBefore = new TreeMap<>(simulation.box("calls:s0").arrivalsBySlot);
        long startNanos = System.nanoTime();
        simulation.runUntil(WARM_UP_MS + MEASURED_MS);
        double realMsPerS = (System.nanoTime() - startNanos) / 1e6 / (MEASURED_MS / 1e3);
        double messagesPerS = (simulation.sentMessages - sentBefore) / (MEASURED_MS / 1e3) / doormans;
        double usedFraction = (simulation.box("calls:s0").arrivals - arrivalsBefore) / (MEASURED_MS / 1e3) / capacity;
        double[] demandPerS = new double[doormans];
        double sum = 0;
        double squares = 0;
        int busyDoormans = 0;
        for (int i = 0; i < doormans; i++) {
            demandPerS[i] = demand.attemptsPerSecond("calls", i, 0);
            double arrivals = simulation.box("calls:s0").arrivalsBySlot.getOrDefault(i, 0L)
                    - arrivalsBySlotBefore.getOrDefault(i, 0L);
            // Jain's fairness index, over the doormans with the highest demand, which should get equal parts.
            if (name.equals("jumping") || demandPerS[i] > 2) {
                sum += arrivals;
                squares += arrivals * arrivals;
                busyDoormans++;
            }
        }
        double totalDemandPerS = 0;
        for (double doormanDemandPerS : demandPerS) {
            totalDemandPerS += doormanDemandPerS;
        }
        double usableFraction = Math.min(1, totalDemandPerS / capacity);
        // The coordinator, which holds leases as well.
        simulation.apply(new Fault.Kill(Set.of(0)));
        double killedMs = simulation.nowMs;
        double reassignedAfterMs = Double.POSITIVE_INFINITY;
        while (simulation.nowMs - killedMs < 30_000 && Double.isInfinite(reassignedAfterMs)) {
            simulation.runUntil(simulation.nowMs + 100);
            reassignedAfterMs = simulation.usableFraction("calls:s0") >= 0.95 && simulation.nowMs - killedMs > 1_000
                    ? simulation.nowMs - killedMs
                    : reassignedAfterMs;
        }
        System.out.printf(
                Locale.ROOT,
                "%8d  %-8s  %5.3f   %5.3f        %5.3f %10.1f %15.1f %15.1f%s%n",
                doormans,
                name,
                usedFraction / usableFraction,
                fixedPartsUse(doormans, demandPerS, capacity) / usableFraction,
                sum * sum / squares / busyDoormans,
                messagesPerS,
                realMsPerS,
                reassignedAfterMs / 1e3,
                simulation.violations().isEmpty()
                        ? ""
                        : "  BROKEN " + simulation.violations().get(0));
    }
}
