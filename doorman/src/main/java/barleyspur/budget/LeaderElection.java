package barleyspur.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Leader election of the coordinator by leases. A voter becomes a candidate if there is no coordinator and the fleet
 * view shows no reachable voter before it in the configured list. It leads as long as a majority of all configured
 * voters, not only of the reachable ones, renews its promises. Leadership ends one leader lease after the sending of
 * the newest vote requests that a majority has answered.
 */
final class LeaderElection {

    private static final int RENEWALS_PER_LEASE = 4;
    /** Part of a leader lease after which a candidate without a majority releases its votes and backs off. */
    private static final double ATTEMPT_FRACTION = 0.25;

    private static final int MAX_PENDING_REQUESTS = 8;

    private final AgentContext context;
    private final Voter voter;
    private final int rank;
    private long ballot;
    private long sequence;
    private final Map<Long, Double> sentMsBySequence = new HashMap<>();
    private final Map<String, Double> confirmedMsByVoter = new HashMap<>();
    private double leaderLeaseEndMs = Double.NEGATIVE_INFINITY;
    private double nextActionMs;
    private double attemptEndMs;
    private boolean leading;
    private boolean resigned;

    LeaderElection(AgentContext context, Voter voter, int rank) {
        this.context = context;
        this.voter = voter;
        this.rank = rank;
        nextActionMs = context.nowMs + context.abstentionMs();
    }

    /** Returns whether this process is the coordinator now. */
    boolean isLeader() {
        return leading && context.nowMs < leaderLeaseEndMs;
    }

    long epoch() {
        return ballot;
    }

    double leaderLeaseEndMs() {
        return leaderLeaseEndMs;
    }

    double dueMs() {
        return resigned ? Double.POSITIVE_INFINITY : leading ? Math.min(nextActionMs, leaderLeaseEndMs) : nextActionMs;
    }

    /** Does the work that is due; returns whether this process has just lost leadership. */
    boolean tick() {
        boolean leadershipLost = leading && context.nowMs >= leaderLeaseEndMs;
        if (leadershipLost) {
            // Another coordinator may have led since then, so all state of this ballot is discarded.
            leading = false;
            releaseVotes();
            nextActionMs =
                    context.nowMs + context.random.nextDouble() * context.config.leaderLeaseMs() * ATTEMPT_FRACTION;
        }
        if (resigned || context.nowMs < nextActionMs) {
            return leadershipLost;
        }
        if (leading) {
            requestVotes();
            nextActionMs = context.nowMs + context.config.leaderLeaseMs() / RENEWALS_PER_LEASE;
        } else if (ballot != 0 && context.nowMs < attemptEndMs) {
            requestVotes();
            nextActionMs =
                    Math.min(attemptEndMs, context.nowMs + context.config.leaderLeaseMs() * ATTEMPT_FRACTION / 2);
        } else if (ballot != 0) {
            releaseVotes();
            nextActionMs = context.nowMs
                    + (1 + context.random.nextDouble()) * context.config.leaderLeaseMs() * ATTEMPT_FRACTION;
        } else if (mayStartElection()) {
            ballot = context.random.nextLong() >>> 12 | 1;
            attemptEndMs = context.nowMs + context.config.leaderLeaseMs() * ATTEMPT_FRACTION;
            requestVotes();
            nextActionMs = context.nowMs + context.config.leaderLeaseMs() * ATTEMPT_FRACTION / 2;
        } else {
            nextActionMs = context.nowMs + context.config.leaderLeaseMs() * ATTEMPT_FRACTION / 2;
        }
        return leadershipLost;
    }

    /**
     * Returns whether no voter before this one in the list can be expected to start an election. The fleet view is only
     * a hint here, to make concurrent candidates rare.
     */
    private boolean mayStartElection() {
        int reachableBefore = 0;
        for (int i = 0; i < rank; i++) {
            reachableBefore += context.isReachable(context.config.voters().get(i)) ? 1 : 0;
        }
        // A reachable voter may still be unable to win an election, so the next one tries after a delay.
        return voter.promisedTo().isEmpty()
                && context.nowMs - voter.freeSinceMs()
                        >= reachableBefore * context.config.leaderLeaseMs() * ATTEMPT_FRACTION;
    }

    private void requestVotes() {
        sequence++;
        sentMsBySequence.put(sequence, context.nowMs);
        sentMsBySequence.remove(sequence - MAX_PENDING_REQUESTS);
        for (String address : context.config.voters()) {
            context.send(address, new BudgetMessage.VoteRequest(context.configDigest, ballot, sequence));
        }
    }

    private void releaseVotes() {
        for (String address : context.config.voters()) {
            context.send(address, new BudgetMessage.VoteRelease(ballot));
        }
        ballot = 0;
        confirmedMsByVoter.clear();
        sentMsBySequence.clear();
        leaderLeaseEndMs = Double.NEGATIVE_INFINITY;
    }

    /** Handles a vote; returns whether this process becomes the coordinator by it. */
    boolean onVote(String from, BudgetMessage.VoteReply vote) {
        Double requestSentMs = sentMsBySequence.get(vote.sequence());
        boolean lapsed = leading && context.nowMs >= leaderLeaseEndMs;
        if (vote.ballot() != ballot
                || ballot == 0
                || lapsed
                || requestSentMs == null
                || !context.config.voters().contains(from)) {
            return false;
        }
        if (!vote.granted()) {
            if (!leading && !vote.promisedTo().isEmpty()) {
                attemptEndMs = context.nowMs;
                nextActionMs = context.nowMs;
            }
            return false;
        }
        confirmedMsByVoter.merge(from, requestSentMs, Math::max);
        List<Double> confirmations = new ArrayList<>(confirmedMsByVoter.values());
        if (confirmations.size() < context.config.majority()) {
            return false;
        }
        confirmations.sort(null);
        leaderLeaseEndMs =
                confirmations.get(confirmations.size() - context.config.majority()) + context.config.leaderLeaseMs();
        boolean elected = !leading && context.nowMs < leaderLeaseEndMs;
        if (elected) {
            leading = true;
            nextActionMs = context.nowMs + context.config.leaderLeaseMs() / RENEWALS_PER_LEASE;
        }
        return elected;
    }

    /** Permanently gives up leadership and candidacy, and releases the votes. */
    void resign() {
        resigned = true;
        leading = false;
        if (ballot != 0) {
            releaseVotes();
        }
    }
}
