package barleyspur.budget;

import java.util.List;

/**
 * The state of the budgets as one doorman knows it at one time.
 *
 * @param coordinating whether this doorman is the coordinator; {@code allocations} is empty otherwise
 * @param coordinatorAddress where this doorman sends its requests or whom it voted for; empty if unknown or if it has
 *     requested nothing
 * @param coordinatorLost whether it sends requests and no coordinator has answered for twice the expected time
 * @param abstaining whether it may not vote yet because it has just started
 * @param ownLeases the leases of this doorman
 * @param allocations the allocations that this doorman makes as the coordinator
 */
public record BudgetSnapshot(
        boolean coordinating,
        long epoch,
        double epochRemainingMs,
        String coordinatorAddress,
        boolean coordinatorLost,
        boolean abstaining,
        List<OwnLease> ownLeases,
        List<Allocation> allocations) {

    /** The lease of this doorman on one budget. */
    public record OwnLease(
            String budget,
            BudgetKind kind,
            long capacity,
            long floor,
            long leasedAmount,
            double remainingMs,
            long inUse,
            double demand,
            long lateSends,
            long overlongHolds) {}

    /**
     * The allocation of one budget at the coordinator.
     *
     * @param leasable how much may be leased beyond the floors
     * @param committed how much holders may still use
     * @param reason the reason for which capacity is held back, or empty
     */
    public record Allocation(
            String budget,
            BudgetKind kind,
            long capacity,
            long leasable,
            long committed,
            String reason,
            List<HolderState> holders) {}

    /** The state of one holder: {@code committed} is what it may still use, {@code target} what it is to get. */
    public record HolderState(
            String doorman,
            String address,
            long committed,
            long target,
            long demand,
            long inUse,
            double weight,
            double remainingMs,
            double sinceLastReportMs,
            boolean hasLeft) {}
}
