package barleyspur.doorman;

/**
 * How much earlier than its time a request is to be ended, so that its final answer comes in time also where the process
 * stands still just then: as long as the longest standstill seen lately, which counts for less as time goes by.
 */
final class StandstillMargin {

    /** Time after which a standstill counts for half. */
    private static final double HALF_LIFE_MS = 10_000;
    /** The part of a request's time that may be given up for it. */
    private static final double MOST_SHARE = 0.25;

    private double longestMs;
    private double seenAtMs;

    /** Something waited for so long to be read. */
    void observe(double nowMs, double waitedMs) {
        if (waitedMs > longestMs(nowMs)) {
            longestMs = waitedMs;
            seenAtMs = nowMs;
        }
    }

    private double longestMs(double nowMs) {
        return longestMs * Math.pow(0.5, (nowMs - seenAtMs) / HALF_LIFE_MS);
    }

    /** The margin for a request that has so much time. */
    double of(double remainingMs, double nowMs) {
        return Math.min(longestMs(nowMs), remainingMs * MOST_SHARE);
    }
}
