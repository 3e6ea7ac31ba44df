package barleyspur.budget;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;

/**
 * What all doormans of a fleet have agreed on beforehand, from their settings.
 *
 * @param voters  addresses of the doormans whose majority says who divides; one process at a time has each
 * @param largest the most processes there ever are at once: floors are set aside for so many
 * @param termMs  how long a voter's promise lasts
 * @param holdMs  the longest time that a place is in use after it was taken
 * @param slackMs the longest pause between a check and the send after it that costs nothing
 * @param budgets by name
 */
public record Terms(
        List<String> voters, int largest, double termMs, double holdMs, double slackMs, Map<String, Budget> budgets) {

    /** The rate by which a clock may run fast or slow. */
    public static final double DRIFT = 0.01;
    /** Who waits for something to be over on another's clock waits this much longer. */
    static final double WAIT = (1 + DRIFT) / (1 - DRIFT);
    /** What a doorman's weight may be: so much less or more than another's 1. */
    public static final double LEAST_WEIGHT = 0.1;
    /** See {@link #LEAST_WEIGHT}. */
    public static final double MOST_WEIGHT = 10;

    /**
     * One budget, or one for each subject: {@code NAME:SUBJECT} goes by the terms of {@code NAME}.
     *
     * @param whole   what all may use: units a second, at once, or in all
     * @param burst   of a rate: what may be saved up by all together
     * @param floor   what each doorman has in any case, set aside from the whole
     * @param weight  of this doorman where demand is over the whole
     * @param leaseMs how long a share lasts without being renewed
     */
    public record Budget(String name, Kind kind, long whole, double burst, long floor, double weight, double leaseMs) {

        /** The same with what of another may count while doormans run. */
        Budget retuned(Budget next) {
            return new Budget(name, kind, next.whole, next.burst, floor, next.weight, leaseMs);
        }

        /** The same with another whole. */
        public Budget whole(long other) {
            return new Budget(name, kind, other, burst, floor, weight, leaseMs);
        }
    }

    /** Copies the collections, so that nobody changes them later. */
    public Terms {
        voters = List.copyOf(voters);
        budgets = Map.copyOf(budgets);
    }

    /** The budget by whose terms a subject's goes. */
    static String root(String name) {
        int at = name.indexOf(':');
        return at < 0 ? name : name.substring(0, at);
    }

    /** The terms by which a budget goes, or null. */
    public Budget of(String name) {
        return budgets.get(root(name));
    }

    /** Voters that make a majority: of all that are named, whoever is there. */
    int majority() {
        return voters.size() / 2 + 1;
    }

    /** Of all that has to be the same at all doormans: who differs is not listened to. Wholes and weights may differ. */
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
