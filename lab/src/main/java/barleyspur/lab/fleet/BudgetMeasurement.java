package barleyspur.lab.fleet;

import barleyspur.budget.Kind;
import barleyspur.budget.Terms;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** {@code budget measure}: use of the whole, time to divide anew and traffic by size and load, in virtual time. */
final class BudgetMeasurement {

    private static final double LEASE_MS = 4_000;
    private static final double TERM_MS = 1_500;
    private static final double WARM_MS = 15_000;
    private static final double OVER_MS = 20_000;

    private BudgetMeasurement() {}

    private static BudgetSimulation world(int doormans, long whole, BudgetSimulation.Demand demand) {
        Terms terms = new Terms(
                BudgetSimulation.voterAddresses(Math.min(3, doormans)),
                doormans,
                TERM_MS,
                500,
                50,
                Map.of(
                        "calls",
                        new Terms.Budget("calls", Kind.RATE, whole, Math.max(doormans, whole), 0, 1, LEASE_MS)));
        FaultSchedule schedule = new FaultSchedule("measure", doormans, doormans, List.of(0), 500, List.of(), 0, 1);
        return new BudgetSimulation(schedule, terms, BudgetCommands.DRIFT, List.of("calls:s0"), demand);
    }

    /** What a fixed part for each would let through of what is wanted, as a part of the whole. */
    private static double fixed(int doormans, double[] wants, double whole) {
        double sum = 0;
        for (double w : wants) {
            sum += Math.min(w, whole / doormans);
        }
        return sum / whole;
    }

    /** Prints a row for each size. */
    static void print(List<Integer> sizes) {
        System.out.println(
                "doormans  load      in use  fixed parts  Jain  words/s a doorman  real ms/virtual s  anew s after kill");
        for (int n : sizes) {
            long whole = 20L * n;
            Map<String, BudgetSimulation.Demand> loads = new TreeMap<>();
            loads.put("even", (b, slot, now) -> 30);
            loads.put("skewed", (b, slot, now) -> slot < Math.max(1, n / 3) ? 90 : 2);
            loads.put("jumping", (b, slot, now) -> slot % 3 == (int) (now / 1_000) % 3 ? 90 : 2);
            loads.forEach((name, demand) -> row(n, whole, name, demand));
        }
    }

    private static void row(int n, long whole, String name, BudgetSimulation.Demand demand) {
        BudgetSimulation world = world(n, whole, demand);
        world.startInitialProcesses();
        world.runUntil(WARM_MS);
        long sent = world.sentMessages;
        long arrived = world.box("calls:s0").arrivals;
        Map<Integer, Long> bySlot = new TreeMap<>(world.box("calls:s0").arrivalsBySlot);
        long nanos = System.nanoTime();
        world.runUntil(WARM_MS + OVER_MS);
        double real = (System.nanoTime() - nanos) / 1e6 / (OVER_MS / 1e3);
        double words = (world.sentMessages - sent) / (OVER_MS / 1e3) / n;
        double used = (world.box("calls:s0").arrivals - arrived) / (OVER_MS / 1e3) / whole;
        double[] wants = new double[n];
        double sum = 0;
        double squares = 0;
        int hungry = 0;
        for (int i = 0; i < n; i++) {
            wants[i] = demand.attemptsPerSecond("calls", i, 0);
            double got = world.box("calls:s0").arrivalsBySlot.getOrDefault(i, 0L) - bySlot.getOrDefault(i, 0L);
            // Among those that want the most, which all are to have alike.
            if (name.equals("jumping") || wants[i] > 2) {
                sum += got;
                squares += got * got;
                hungry++;
            }
        }
        double wanted = 0;
        for (double w : wants) {
            wanted += w;
        }
        double could = Math.min(1, wanted / whole);
        // Whoever divides, which holds a share as well.
        world.apply(new Fault.Kill(Set.of(0)));
        double killed = world.nowMs;
        double anew = Double.POSITIVE_INFINITY;
        while (world.nowMs - killed < 30_000 && Double.isInfinite(anew)) {
            world.runUntil(world.nowMs + 100);
            anew = world.usableFraction("calls:s0") >= 0.95 && world.nowMs - killed > 1_000
                    ? world.nowMs - killed
                    : anew;
        }
        System.out.printf(
                Locale.ROOT,
                "%8d  %-8s  %5.3f   %5.3f        %5.3f %10.1f %15.1f %15.1f%s%n",
                n,
                name,
                used / could,
                fixed(n, wants, whole) / could,
                sum * sum / squares / hungry,
                words,
                real,
                anew / 1e3,
                world.violations().isEmpty()
                        ? ""
                        : "  BROKEN " + world.violations().get(0));
    }
}
