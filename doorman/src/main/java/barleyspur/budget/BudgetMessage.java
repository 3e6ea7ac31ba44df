package barleyspur.budget;

import java.util.List;

/**
 * Messages between doormans about budgets. {@code configDigest} is the digest of the configuration that the sender and
 * the receiver must share.
 */
public sealed interface BudgetMessage {

    /**
     * Requests the promise of a voter.
     *
     * @param ballot random id of this candidacy
     * @param sequence number of this request: identifies the time at which it was sent when the reply comes
     */
    record VoteRequest(long configDigest, long ballot, long sequence) implements BudgetMessage {}

    /** Replies to a {@link VoteRequest}; {@code promisedTo} is the address that the vote is promised to, or empty. */
    record VoteReply(long ballot, long sequence, boolean granted, String promisedTo) implements BudgetMessage {}

    /** Releases the votes for a ballot, which its candidate or coordinator will never use again. */
    record VoteRelease(long ballot) implements BudgetMessage {}

    /**
     * Requests leases from the coordinator and reports the current ones.
     *
     * @param lastEpoch epoch of the coordinator whose grants arrived last: if it is the receiver's, the report was sent
     *     after that epoch began
     * @param sentAtMs clock of the sender, of which only the rate is used
     */
    record LeaseRequest(long configDigest, long lastEpoch, double sentAtMs, List<HolderReport> reports)
            implements BudgetMessage {}

    /**
     * The part of a lease request for one budget.
     *
     * @param sequence number of the request: increases for each budget while the process runs
     * @param acceptedSequence of all grants with sequence numbers up to this one, nothing will be used but {@code
     *     leasedAmount}
     * @param epoch in which the current lease was granted
     * @param leasedAmount amount that may be used now beyond the floor; 0 if the lease has expired
     * @param inUse places in use, or units spent
     * @param demand beyond the floor
     * @param capacity of the budget by the sender's settings
     * @param periodId of an amount: id of the period that {@code leasedAmount} belongs to
     * @param remainingMs remaining duration of the current lease
     */
    record HolderReport(
            String budget,
            long sequence,
            long acceptedSequence,
            long epoch,
            long leasedAmount,
            long inUse,
            long demand,
            double weight,
            long capacity,
            long periodId,
            double remainingMs) {}

    /** The coordinator's answer to a lease request. */
    record LeaseGrants(long configDigest, long epoch, List<LeaseGrant> grants) implements BudgetMessage {}

    /**
     * Grants {@code amount} for {@code durationMs}, counted from the sending of the request with that sequence number.
     */
    record LeaseGrant(String budget, long sequence, long amount, double durationMs, long periodId) {}

    /** Reports that the sender is not the coordinator: requests go to this address or, if empty, to another voter. */
    record Redirect(String address) implements BudgetMessage {}
}
