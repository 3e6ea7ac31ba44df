package barleyspur.budget;

/**
 * Promises its vote to one ballot at a time until the promise expires. Keeps no state over a restart, so a voter that
 * has just started abstains until every promise that it may have made before must have expired.
 */
final class Voter {

    private final AgentContext context;
    private final double abstainUntilMs;
    private long promisedBallot;
    private String promisedTo = "";
    private double promiseEndMs = Double.NEGATIVE_INFINITY;
    private long releasedBallot;
    private boolean resigned;

    Voter(AgentContext context) {
        this.context = context;
        abstainUntilMs = context.nowMs + context.abstentionMs();
    }

    boolean isAbstaining() {
        return context.nowMs < abstainUntilMs;
    }

    /** Returns the address that the vote is promised to, or empty. */
    String promisedTo() {
        return context.nowMs < promiseEndMs ? promisedTo : "";
    }

    /** Returns the time since which, or from which on, the vote is free. */
    double freeSinceMs() {
        return Math.max(abstainUntilMs, promiseEndMs);
    }

    void onVoteRequest(String from, BudgetMessage.VoteRequest request) {
        if (resigned
                || isAbstaining()
                || request.configDigest() != context.configDigest
                || request.ballot() == releasedBallot) {
            return;
        }
        boolean granted =
                context.nowMs >= promiseEndMs || request.ballot() == promisedBallot && from.equals(promisedTo);
        if (granted) {
            promisedBallot = request.ballot();
            promisedTo = from;
            promiseEndMs = context.nowMs + context.config.leaderLeaseMs() * BudgetConfig.DRIFT_MARGIN;
        }
        context.send(from, new BudgetMessage.VoteReply(request.ballot(), request.sequence(), granted, promisedTo()));
    }

    void onRelease(String from, BudgetMessage.VoteRelease release) {
        releasedBallot = release.ballot();
        if (release.ballot() == promisedBallot && from.equals(promisedTo)) {
            promiseEndMs = Math.min(promiseEndMs, context.nowMs);
        }
    }

    void resign() {
        resigned = true;
    }
}
