package barleyspur.decision;

/**
 * The work that may be sent to a node that has just started: a token bucket that starts with a debt and accrues with
 * time up to a bound.
 */
final class ColdBudget {

    private double balance;
    private double accruedUntilMs;

    /** Resets the budget to a debt, which is paid first, when the node has started. */
    void reset(double debt, double nowMs) {
        balance = -debt;
        accruedUntilMs = nowMs;
    }

    /** Accrues at a rate since the last call, up to a bound. */
    void accrue(double perMs, double maxBalance, double nowMs) {
        balance = Math.min(maxBalance, balance + perMs * (nowMs - accruedUntilMs));
        accruedUntilMs = nowMs;
    }

    /** Returns whether the budget covers this work. */
    boolean covers(double workMs) {
        return balance >= workMs;
    }

    /** Spends this work. Work that the budget does not cover becomes debt. */
    void spend(double workMs) {
        balance -= workMs;
    }

    /** Returns work that was spent but never reached the node. */
    void refund(double workMs) {
        balance += workMs;
    }
}
