package barleyspur.decision;

/**
 * An adaptive limit on the attempts in flight to a node or by a path, with the recent share of late answers that it
 * is adapted by.
 */
final class ConcurrencyLimit {

    /** The number of attempts in flight. */
    int inFlight;
    /** The most attempts in flight that are admitted. Under 1 it admits a share of the requests. */
    double max;
    /** The moving share of late answers. */
    double lateShare;
    /** When the limit was last decreased. */
    double lastDecreaseMs = Double.NEGATIVE_INFINITY;

    /** Creates a limit that admits everything until answers are late. */
    ConcurrencyLimit() {
        this(1e9);
    }

    /** Creates a limit with an initial value. */
    ConcurrencyLimit(double max) {
        this.max = max;
    }
}
