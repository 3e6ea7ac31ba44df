package barleyspur.decision;

/**
 * The state that the policy tracks about one listed node, as a target of requests and as a source of fills.
 */
final class TrackedNode {

    /** The node as last listed. */
    RoutingPolicy.Node listing;
    /** The hash of the node's id in rendezvous scores. */
    final long hash;
    /** The node's weight in rendezvous scores: its size, or 1 where sizes are not known. */
    double weight = 1;
    /** Signs of copies from before this time are void, since the process has restarted. */
    double copiesValidFromMs = Double.NEGATIVE_INFINITY;
    /** This doorman's attempts in flight that are expected to hit. */
    int hitsInFlight;
    /** The share of late answers among expected hits. */
    double lateHitShare;
    /** The limit on attempts to the node. */
    final ConcurrencyLimit attemptLimit = new ConcurrencyLimit();
    /** The limit on fills that name the node as their source. */
    final ConcurrencyLimit sourceLimit = new ConcurrencyLimit();
    /** The load that the node last reported. */
    double reportedLoad;
    /** When the node last answered an attempt. */
    double lastAnswerMs;
    /** The moving share of failures among its outcomes. */
    double errorShare;
    /**
     * No connection could be opened, or no cache could fill from the node. A reset does not count, as it may
     * affect a single connection.
     */
    boolean unreachable;
    /** Attempts that the node refused in a row. */
    int refusalsInRow;
    /** Fills that caches refused in a row and that named the node as their source. */
    int sourceRefusalsInRow;
    /** Fills from the node that were unanswered at their latency target, since it last served one. */
    int overdueFillsInRow;
    /** Whether the node gets no requests but trials. */
    boolean excluded;
    /** Whether a trial of the excluded node is in flight. */
    boolean trialInFlight;
    /** When the next trial of the excluded node may start. */
    double excludedUntilMs;
    /** The length of the last exclusion. */
    double exclusionMs;
    /** The number of successful trials that are still needed to end the exclusion. */
    int trialsLeft;
    /** The work that may be sent to the node while it is cold. */
    final ColdBudget coldBudget = new ColdBudget();
    /** When the node was presumed to have restarted although the list does not report it. */
    double presumedStartMs;
    /** Until when the node is treated as cold because of the presumed restart. */
    double presumedColdUntilMs;

    TrackedNode(RoutingPolicy.Node listing) {
        this.listing = listing;
        this.hash = Rendezvous.nodeHash(listing.id());
    }

    /** Resets what was known about the process before its restart. */
    void resetAfterRestart(double nowMs) {
        copiesValidFromMs = nowMs;
        presumedColdUntilMs = 0;
        excluded = false;
        trialInFlight = false;
        errorShare = 0;
        unreachable = false;
        overdueFillsInRow = 0;
        refusalsInRow = 0;
        sourceRefusalsInRow = 0;
        exclusionMs = 0;
        reportedLoad = 0;
    }

    boolean isReady() {
        return listing.state() == RoutingPolicy.State.READY;
    }

    long id() {
        return listing.id();
    }
}
