package barleyspur.decision;

/**
 * The work that may be sent to a node that has just started: a token bucket that starts with a debt and accrues with
 * time up to a bound.
 */
final class ColdBudget {

    private double saved;
    private double earnedUntil;

    /** Resets the budget to a debt, which is paid first, when the node has started. */
    void start(double debt, double now) {
        saved = -debt;
        earnedUntil = now;
    }

    /** Accrues at a rate since the last call, up to a bound. */
    void earn(double perMs, double most, double now) {
        saved = Math.min(most, saved + perMs * (now - earnedUntil));
        earnedUntil = now;
    }

    /** Returns whether the budget covers this work. */
    boolean covers(double work) {
        return saved >= work;
    }

    /** Spends this work. Work that the budget does not cover becomes debt. */
    void spend(double work) {
        saved -= work;
    }

    /** Returns work that was spent but never reached the node. */
    void giveBack(double work) {
        saved += work;
    }
}
