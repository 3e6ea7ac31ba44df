package barleyspur.budget;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * Configuration of the budgets that all doormans of a fleet have to agree on.
 *
 * @param voters addresses of the doormans that elect the coordinator by majority; one process at a time uses each
 *     address
 * @param maxDoormans the maximum number of processes that run at once: as many floors are reserved
 * @param leaderLeaseMs how long the promise of a voter lasts
 * @param maxHoldMs the longest time for which a place is in use after it was acquired
 * @param sendSlackMs the longest tolerated pause between acquiring a unit and sending the guarded operation
 * @param budgets by name
 */
public record BudgetConfig(
        List<String> voters,
        int maxDoormans,
        double leaderLeaseMs,
        double maxHoldMs,
        double sendSlackMs,
        Map<String, Budget> budgets) {

    /** Bound on the clock drift: the rate by which a clock may run fast or slow. */
    public static final double MAX_CLOCK_DRIFT = 0.01;
    /** Factor for waiting until a duration has passed on another process's clock, given the drift bound. */
    static final double DRIFT_MARGIN = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT);
    /** Lower bound on the weight of a doorman; the default is 1. */
    public static final double MIN_WEIGHT = 0.1;
    /** Upper bound on the weight of a doorman; the default is 1. */
    public static final double MAX_WEIGHT = 10;

    /**
     * Configuration of one budget; it also applies to each subject {@code NAME:SUBJECT} of the budget {@code NAME}.
     *
     * @param capacity what all doormans together may use: units per second, units at once, or units in all
     * @param burst of a rate: total size of the token buckets of all doormans
     * @param floor amount that each doorman may use without a lease; reserved from the capacity
     * @param weight of this doorman if the demand exceeds the capacity
     * @param leaseMs how long a lease lasts without a renewal
     */
    public record Budget(
            String name, BudgetKind kind, long capacity, double burst, long floor, double weight, double leaseMs) {

        /** Returns a copy with those values of another configuration that can change at run time. */
        Budget withRuntimeChanges(Budget changed) {
            return new Budget(name, kind, changed.capacity, changed.burst, floor, changed.weight, leaseMs);
        }

        /** Returns a copy with another capacity. */
        public Budget withCapacity(long otherCapacity) {
            return new Budget(name, kind, otherCapacity, burst, floor, weight, leaseMs);
        }
    }

    /** Copies the collections to make the record immutable. */
    public BudgetConfig {
        voters = List.copyOf(voters);
        budgets = Map.copyOf(budgets);
    }

    /** Returns the name of the budget that a subject belongs to. */
    static String budgetName(String subject) {
        int colon = subject.indexOf(':');
        return colon < 0 ? subject : subject.substring(0, colon);
    }

    /** Returns the configuration of a budget or subject, or null. */
    public Budget budgetFor(String subject) {
        return budgets.get(budgetName(subject));
    }

    /** Returns the number of voters that make a majority of all configured ones, reachable or not. */
    int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns a digest of the settings that must be the same at all doormans: messages with another digest are not
     * accepted. Capacities and weights may differ.
     */
    public long digest() {
        StringBuilder text = new StringBuilder(voters + " " + maxDoormans + " " + leaderLeaseMs + " " + maxHoldMs);
        new TreeMap<>(budgets).values().forEach(budget -> text.append(' ')
                .append(budget.name)
                .append(budget.kind)
                .append(budget.floor)
                .append(' ')
                .append(budget.leaseMs));
        return LongHashFunction.xx3().hashChars(text) >>> 12;
    }
}
