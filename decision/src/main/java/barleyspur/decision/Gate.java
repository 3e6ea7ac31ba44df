package barleyspur.decision;

/** How late answers by one way have come lately, and how many attempts are let in by it. */
final class Gate {

    int inside;
    double limit = 1e9;
    double lateShare;
    double cutAt = Double.NEGATIVE_INFINITY;
}
