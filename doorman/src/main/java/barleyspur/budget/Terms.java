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
 * @param largest the maximum number of processes that run at once: as many floors are reserved
 * @param termMs how long the promise of a voter lasts
 * @param holdMs the longest time for which a place is in use after it was acquired
 * @param slackMs the longest tolerated pause between acquiring a unit and sending the guarded operation
 * @param budgets by name
 */
public record Terms(
        List<String> voters, int largest, double termMs, double holdMs, double slackMs, Map<String, Budget> budgets) {

    /** Bound on the clock drift: the rate by which a clock may run fast or slow. */
    public static final double DRIFT = 0.01;
    /** Factor for waiting until a duration has passed on another process's clock, given the drift bound. */
    static final double WAIT = (1 + DRIFT) / (1 - DRIFT);
    /** Lower bound on the weight of a doorman; the default is 1. */
    public static final double LEAST_WEIGHT = 0.1;
    /** Upper bound on the weight of a doorman; the default is 1. */
    public static final double MOST_WEIGHT = 10;

    /**
     * Configuration of one budget; it also applies to each subject {@code NAME:SUBJECT} of the budget {@code NAME}.
     *
     * @param whole what all doormans together may use: units per second, units at once, or units in all
     * @param burst of a rate: total size of the token buckets of all doormans
     * @param floor amount that each doorman may use without a lease; reserved from the capacity
     * @param weight of this doorman if the demand exceeds the capacity
     * @param leaseMs how long a lease lasts without a renewal
     */
    public record Budget(String name, Kind kind, long whole, double burst, long floor, double weight, double leaseMs) {

        /** Returns a copy with those values of another configuration that can change at run time. */
        Budget retuned(Budget next) {
            return new Budget(name, kind, next.whole, next.burst, floor, next.weight, leaseMs);
        }

        /** Returns a copy with another capacity. */
        public Budget whole(long other) {
            return new Budget(name, kind, other, burst, floor, weight, leaseMs);
        }
    }

    /** Copies the collections to make the record immutable. */
    public Terms {
        voters = List.copyOf(voters);
        budgets = Map.copyOf(budgets);
    }

    /** Returns the name of the budget that a subject belongs to. */
    static String root(String name) {
        int at = name.indexOf(':');
        return at < 0 ? name : name.substring(0, at);
    }

    /** Returns the configuration of a budget or subject, or null. */
    public Budget of(String name) {
        return budgets.get(root(name));
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
        StringBuilder text = new StringBuilder(voters + " " + largest + " " + termMs + " " + holdMs);
        new TreeMap<>(budgets).values().forEach(b -> text.append(' ')
                .append(b.name)
                .append(b.kind)
                .append(b.floor)
                .append(' ')
                .append(b.leaseMs));
        return LongHashFunction.xx3().hashChars(text) >>> 12;
    }
}
