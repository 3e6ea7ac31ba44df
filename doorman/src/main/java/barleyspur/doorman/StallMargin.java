package barleyspur.doorman;

/**
 * Determines how much earlier than its time limit a request has to be finished, so that its final answer is in time
 * even if the process stalls just then, as on a core that is shared with others. The margin is the longest stall
 * observed recently, with a weight that decays over time.
 */
final class StallMargin {

    /** The time after which an observed stall counts for half. */
    private static final double HALF_LIFE_MS = 10_000;
    /** The maximum share of a request's time that is reserved. */
    private static final double MAX_SHARE = 0.25;

    private double longestMs;
    private double observedAtMs;

    /** Records that some input waited for {@code waitedMs} before it was read. */
    void observe(double nowMs, double waitedMs) {
        if (waitedMs > longestMs(nowMs)) {
            longestMs = waitedMs;
            observedAtMs = nowMs;
        }
    }

    private double longestMs(double nowMs) {
        return longestMs * Math.pow(0.5, (nowMs - observedAtMs) / HALF_LIFE_MS);
    }

    /** Returns the margin for a request with this time limit. */
    double marginMs(double remainingMs, double nowMs) {
        return Math.min(longestMs(nowMs), remainingMs * MAX_SHARE);
    }
}
