package barleyspur.budget;

import java.util.List;

/**
 * What a doorman knows of the budgets at one moment.
 *
 * @param divides whether it divides; only then are there rows
 * @param divider where it asks, or whom its vote is promised to; empty: it knows none, or has asked for nothing
 * @param lost    it asks, and no divider has answered for twice as long as one should take
 * @param silent  whether it may neither vote nor use floors yet, since it has just started
 * @param own     what it may use itself
 */
public record Ledger(
        boolean divides,
        long term,
        double termLeftMs,
        String divider,
        boolean lost,
        boolean silent,
        List<Own> own,
        List<Row> rows) {

    /** This doorman's share of a budget. */
    public record Own(
            String budget,
            Kind kind,
            long whole,
            long floor,
            long amount,
            double leftMs,
            long using,
            double demand,
            long overslept,
            long overheld) {}

    /**
     * One budget as the divider has it.
     *
     * @param limit how much may be out beyond floors
     * @param out   how much is
     * @param why   something is held back, or empty
     */
    public record Row(String budget, Kind kind, long whole, long limit, long out, String why, List<Holding> holdings) {}

    /** One doorman's part: {@code committed} is what it may still use, {@code target} what it is to have. */
    public record Holding(
            String doorman,
            String address,
            long committed,
            long target,
            long wants,
            long using,
            double weight,
            double leftMs,
            double heardMs,
            boolean gone) {}
}
