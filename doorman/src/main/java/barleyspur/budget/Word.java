package barleyspur.budget;

import java.util.List;

/**
 * Messages between doormans about budgets. {@code terms} is the digest of the configuration that the sender and the
 * receiver must share.
 */
public sealed interface Word {

    /**
     * Requests the promise of a voter.
     *
     * @param ballot random id of this candidacy
     * @param number sequence number of this request: identifies the time at which it was sent when the reply comes
     */
    record VoteAsk(long terms, long ballot, long number) implements Word {}

    /** Replies to a {@link VoteAsk}; {@code promised} is the address that the vote is promised to, or empty. */
    record Vote(long ballot, long number, boolean yes, String promised) implements Word {}

    /** Releases the votes for a ballot, which its candidate or coordinator will never use again. */
    record Release(long ballot) implements Word {}

    /**
     * Requests leases from the coordinator and reports the current ones.
     *
     * @param heard epoch of the coordinator whose grants arrived last: if it is the receiver's, the report was sent
     *     after that epoch began
     * @param atMs clock of the sender, of which only the rate is used
     */
    record Ask(long terms, long heard, double atMs, List<Claim> claims) implements Word {}

    /**
     * The part of a lease request for one budget.
     *
     * @param number sequence number of the request: increases for each budget while the process runs
     * @param took of all grants with sequence numbers up to this one, nothing will be used but {@code held}
     * @param term epoch in which the current lease was granted
     * @param held amount that may be used now beyond the floor; 0 if the lease has expired
     * @param using places in use, or units spent
     * @param wants demand beyond the floor
     * @param whole capacity of the budget by the sender's settings
     * @param opening of an amount: id of the period that {@code held} belongs to
     * @param leftMs remaining duration of the current lease
     */
    record Claim(
            String budget,
            long number,
            long took,
            long term,
            long held,
            long using,
            long wants,
            double weight,
            long whole,
            long opening,
            double leftMs) {}

    /** The coordinator's answer to a lease request. */
    record Grants(long terms, long term, List<Grant> grants) implements Word {}

    /** Grants {@code amount} for {@code forMs}, counted from the sending of the request with that sequence number. */
    record Grant(String budget, long number, long amount, double forMs, long opening) {}

    /** Tells that the sender is not the coordinator: requests go to this address or, if empty, to another voter. */
    record Elsewhere(String address) implements Word {}
}
