package barleyspur.decision;

/**
 * The work that the nodes of one role serve for this doorman: their recent rate in all, and the highest average for
 * one of them, which is still known when all are cold.
 */
final class Carried {

    private final Rate rate;
    private double best;

    Carried(double overMs) {
        rate = new Rate(overMs);
    }

    /** Adds work that one of so many peers has served. */
    void add(double work, int peers, double now) {
        rate.add(work, now);
        best = Math.max(best, rate.perMs(now) / Math.max(1, peers));
    }

    /** Returns the highest average work in a millisecond that one peer has served for this doorman. */
    double best() {
        return best;
    }
}
