package barleyspur.decision;

/**
 * What may be sent to a node that has just started, in work: earned with time, from a debt on, and saved up to a bound.
 */
final class ColdBudget {

    private double saved;
    private double earnedUntil;

    /** The node has started: what comes first pays the debt. */
    void start(double debt, double now) {
        saved = -debt;
        earnedUntil = now;
    }

    /** Earns at a rate since this was last called, and keeps {@code most} at most. */
    void earn(double perMs, double most, double now) {
        saved = Math.min(most, saved + perMs * (now - earnedUntil));
        earnedUntil = now;
    }

    boolean covers(double work) {
        return saved >= work;
    }

    /** Also where it doesn't cover it: what is sent all the same is owed. */
    void spend(double work) {
        saved -= work;
    }

    /** What was spent never reached the node. */
    void giveBack(double work) {
        saved += work;
    }
}
