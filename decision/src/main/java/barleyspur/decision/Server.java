package barleyspur.decision;

/** What is known of one node, as target and as source. */
final class Server {

    Director.Node node;
    /** Its part in rendezvous scores: by its id, and by its size where sizes are told. */
    final long hash;

    double weight = 1;
    double forgetBefore = Double.NEGATIVE_INFINITY;
    int serving;
    /** Share of what it should have held that came late. */
    double hitLate;

    final Gate gate = new Gate();
    final Gate sourceGate = new Gate();
    /** How busy it reported to be, and when it last answered anything. */
    double busy;

    double heardAt;
    double failShare;
    /** No connection came up, or no cache could fill by way of it; a reset may have struck one only. */
    boolean unreachable;
    /** Attempts it turned away since it last answered one, and fills by way of it that caches did. */
    int turnedAway;

    int refused;
    /** Fills by way of it that were still out at their aim since it last served one. */
    int silent;

    boolean isOut;
    boolean onTrial;
    double outUntil;
    double outFor;
    int trialsLeft;
    /** What may be sent while it is cold. */
    final ColdBudget cold = new ColdBudget();
    /** A restart that the list has not told, and until when it is believed without that. */
    double presumedStart;

    double presumedUntil;

    Server(Director.Node node) {
        this.node = node;
        this.hash = Rendezvous.hash(node.id());
    }

    /** What was known of the process before is void. */
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
