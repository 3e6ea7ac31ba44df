package barleyspur.decision;

/**
 * The state that the policy tracks about one listed node, as a target of requests and as a source of fills.
 */
final class Server {

    /** The node as last listed. */
    Director.Node node;
    /** The hash of the node's id in rendezvous scores. */
    final long hash;
    /** The node's weight in rendezvous scores: its size, or 1 where sizes are not known. */
    double weight = 1;
    /** Signs of copies from before this time are void, since the process has restarted. */
    double forgetBefore = Double.NEGATIVE_INFINITY;
    /** This doorman's attempts in flight that are expected to hit. */
    int serving;
    /** The share of late answers among expected hits. */
    double hitLate;
    /** The limit on attempts to the node. */
    final Gate gate = new Gate();
    /** The limit on fills that name the node as their source. */
    final Gate sourceGate = new Gate();
    /** The load that the node last reported. */
    double busy;
    /** When the node last answered an attempt. */
    double heardAt;
    /** The moving share of failures among its outcomes. */
    double failShare;
    /**
     * No connection could be opened, or no cache could fill from the node. A reset does not count, as it may
     * affect a single connection.
     */
    boolean unreachable;
    /** Attempts that the node refused in a row. */
    int turnedAway;
    /** Fills that caches refused in a row and that named the node as their source. */
    int refused;
    /** Fills from the node that were unanswered at their latency target, since it last served one. */
    int silent;
    /** Whether the node gets no requests but trials. */
    boolean isOut;
    /** Whether a trial of the excluded node is in flight. */
    boolean onTrial;
    /** When the next trial of the excluded node may start. */
    double outUntil;
    /** The length of the last exclusion. */
    double outFor;
    /** The number of successful trials that are still needed to end the exclusion. */
    int trialsLeft;
    /** The work that may be sent to the node while it is cold. */
    final ColdBudget cold = new ColdBudget();
    /** When the node was presumed to have restarted although the list does not report it. */
    double presumedStart;
    /** Until when the node is treated as cold because of the presumed restart. */
    double presumedUntil;

    Server(Director.Node node) {
        this.node = node;
        this.hash = Rendezvous.hash(node.id());
    }

    /** Resets what was known about the process before its restart. */
    void restarted(double now) {
        forgetBefore = now;
        presumedUntil = 0;
        isOut = false;
        onTrial = false;
        failShare = 0;
        unreachable = false;
        silent = 0;
        turnedAway = 0;
        refused = 0;
        outFor = 0;
        busy = 0;
    }

    boolean ready() {
        return node.state() == Director.State.READY;
    }

    long id() {
        return node.id();
    }
}
