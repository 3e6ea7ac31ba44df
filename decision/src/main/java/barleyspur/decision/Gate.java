package barleyspur.decision;

/** How late answers by one way have come lately, and how many attempts are let in by it. */
final class Gate {

    int inside;
    double limit;
    double lateShare;
    double cutAt = Double.NEGATIVE_INFINITY;

    /** Lets all in until answers come late. */
    Gate() {
        this(1e9);
    }

    Gate(double limit) {
        this.limit = limit;
    }
}
