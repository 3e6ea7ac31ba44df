package barleyspur.lab.fleet;

import barleyspur.budget.BudgetConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Invariant monitor of leased budgets. It merges the leases that all processes log, by the machine's monotonic clock,
 * and finds any time at which they add up to more than the capacity. A lease of a killed process counts until it
 * expires.
 */
final class BudgetMonitor {

    /** A lease as a process logged it. Violations print it in this form. */
    record Told(double atMs, int process, int slot, String budget, long amount, double untilMs) {}

    /** A logged time and the time that it stands for come from two readings of the clock. */
    private static final double TOLERANCE_MS = 1;

    private final BudgetConfig config;
    private final List<Told> leases = new ArrayList<>();
    /** Changed capacities by budget, each with the time from which it is checked. */
    private final Map<String, TreeMap<Double, Long>> capacityChanges = new HashMap<>();

    private int coordinatorChanges;

    BudgetMonitor(BudgetConfig config) {
        this.config = config;
    }

    /**
     * Reads an event that a process logged.
     *
     * @param startMs the monotonic time to subtract from logged times
     */
    synchronized void onLogEvent(int process, int slot, String event, Map<String, String> keys, double startMs) {
        double atMs = Double.parseDouble(keys.get("mono")) - startMs;
        if (event.equals("share")) {
            leases.add(new Told(
                    atMs,
                    process,
                    slot,
                    keys.get("budget"),
                    Long.parseLong(keys.get("amount")),
                    Double.parseDouble(keys.get("until")) - startMs));
        } else if (event.endsWith("divides")) {
            coordinatorChanges++;
        }
    }

    /** Sets the capacity of a budget that may not be exceeded from a time on. */
    synchronized void changeCapacity(String budget, double fromMs, long capacity) {
        capacityChanges.computeIfAbsent(budget, k -> new TreeMap<>()).put(fromMs, capacity);
    }

    /** Returns how often a process became the coordinator. */
    int coordinatorCount() {
        return coordinatorChanges;
    }

    /** Returns all logged leases in the order in which they were read. */
    synchronized List<Told> allLeases() {
        return List.copyOf(leases);
    }

    private long capacityAt(String subject, double atMs) {
        BudgetConfig.Budget budget = config.budgetFor(subject);
        Map.Entry<Double, Long> entry =
                capacityChanges.getOrDefault(budget.name(), new TreeMap<>()).floorEntry(atMs);
        return entry == null ? budget.capacity() : entry.getValue();
    }

    /** Returns descriptions of the times at which a capacity was exceeded, at most 20. */
    synchronized List<String> violations() {
        List<String> violations = new ArrayList<>();
        Map<String, Map<Integer, Told>> leasesByBudget = new HashMap<>();
        List<Told> ordered = new ArrayList<>(leases);
        ordered.sort((a, b) -> Double.compare(a.atMs, b.atMs));
        for (Told lease : ordered) {
            Map<Integer, Told> current = leasesByBudget.computeIfAbsent(lease.budget, k -> new TreeMap<>());
            current.put(lease.process, lease);
            current.values().removeIf(o -> o.untilMs <= lease.atMs + TOLERANCE_MS);
            long sum = current.values().stream().mapToLong(Told::amount).sum();
            if (sum > capacityAt(lease.budget, lease.atMs) && violations.size() < 20) {
                violations.add(String.format(
                        "never over the whole: at %.1f ms %s: %d of %d are held: %s",
                        lease.atMs, lease.budget, sum, capacityAt(lease.budget, lease.atMs), current.values()));
            }
        }
        return violations;
    }

    /**
     * Returns the average part of a budget's capacity that was leased between two times, or NaN where no subject
     * counts. Only subjects of which somebody got a lease in that time, or within one lease before it, count: routing
     * may turn to other nodes.
     */
    synchronized double leasedFraction(String budget, double fromMs, double toMs) {
        Map<String, Double> leasedBySubject = new HashMap<>();
        Map<String, Told> lastLeases = new HashMap<>();
        Set<String> active = new HashSet<>();
        for (Told lease : leases) {
            if (config.budgetFor(lease.budget).name().equals(budget)) {
                if (lease.atMs >= fromMs - config.budgetFor(budget).leaseMs() && lease.atMs < toMs) {
                    active.add(lease.budget);
                }
                Told previous = lastLeases.put(lease.budget + "/" + lease.process, lease);
                leasedBySubject.merge(
                        lease.budget,
                        previous == null ? 0 : leasedAmountMs(previous, lease.atMs, fromMs, toMs),
                        Double::sum);
            }
        }
        lastLeases
                .values()
                .forEach(lease -> leasedBySubject.merge(
                        lease.budget, leasedAmountMs(lease, lease.untilMs, fromMs, toMs), Double::sum));
        leasedBySubject.keySet().retainAll(active);
        return leasedBySubject.values().stream()
                .mapToDouble(a -> a / (toMs - fromMs) / config.budgetFor(budget).capacity())
                .average()
                .orElse(Double.NaN);
    }

    private static double leasedAmountMs(Told lease, double replacedMs, double fromMs, double toMs) {
        double from = Math.max(fromMs, lease.atMs);
        double to = Math.min(toMs, Math.min(replacedMs, lease.untilMs));
        return to > from ? (to - from) * lease.amount : 0;
    }
}
