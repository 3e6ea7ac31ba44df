package barleyspur.budget;

import java.util.List;

/**
 * The state of the budgets as one doorman knows it at one time.
 *
 * @param divides whether this doorman is the coordinator; {@code rows} is empty otherwise
 * @param divider where this doorman sends its requests or whom it voted for; empty if unknown or if it has requested
 *     nothing
 * @param lost whether it sends requests and no coordinator has answered for twice the expected time
 * @param silent whether it may not vote yet because it has just started
 * @param own the leases of this doorman
 * @param rows the allocations that this doorman makes as the coordinator
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

    /** The lease of this doorman on one budget. */
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
     * The allocation of one budget at the coordinator.
     *
     * @param limit how much may be leased beyond the floors
     * @param out how much holders may still use
     * @param why the reason for which capacity is held back, or empty
     */
    public record Row(String budget, Kind kind, long whole, long limit, long out, String why, List<Holding> holdings) {}

    /** The state of one holder: {@code committed} is what it may still use, {@code target} what it is to get. */
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
