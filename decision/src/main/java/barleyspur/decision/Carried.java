package barleyspur.decision;

/** What peers carry for us: lately in all, and at most for one of them, for when all are cold. */
final class Carried {

    private final Rate rate;
    private double best;

    Carried(double overMs) {
        rate = new Rate(overMs);
    }

    /** One of so many peers has done this work. */
    void add(double work, int peers, double now) {
        rate.add(work, now);
        best = Math.max(best, rate.perMs(now) / Math.max(1, peers));
    }

    /** The most work in a millisecond that one peer has done for us on average. */
    double best() {
        return best;
    }
}
