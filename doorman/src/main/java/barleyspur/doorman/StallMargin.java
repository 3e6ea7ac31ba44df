package barleyspur.doorman;

/**
 * Determines how much earlier than its time limit a request has to be finished, so that its final answer is in time
 * even if the process stalls just then. The margin is the longest stall observed recently, with a weight that decays
 * over time. A minimum stall is assumed even before any was observed, since the first one comes without warning. This
 * assumed part only uses time after the request's target time.
 */
final class StallMargin {

    /** The time after which an observed stall counts for half. */
    private static final double HALF_LIFE_MS = 10_000;
    /** The maximum share of a request's time that is reserved for observed stalls. */
    private static final double MAX_OBSERVED_SHARE = 0.25;
    /** The stall assumed on any machine: waits ended late by up to this much where nothing was wrong. */
    private static final double ASSUMED_MS = 500;
    /** The maximum share of the time after a request's target time that is reserved for the assumed stall. */
    private static final double MAX_ASSUMED_SHARE = 0.25;

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

    /** Returns the margin for a request with this time limit and target time. */
    double marginMs(double remainingMs, double wantedWithinMs, double nowMs) {
        double observedMs = Math.min(longestMs(nowMs), remainingMs * MAX_OBSERVED_SHARE);
        double assumedMs = Math.min(ASSUMED_MS, Math.max(0, remainingMs - wantedWithinMs) * MAX_ASSUMED_SHARE);
        return Math.max(observedMs, assumedMs);
    }
}
