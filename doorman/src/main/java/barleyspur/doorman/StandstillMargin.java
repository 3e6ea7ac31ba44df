package barleyspur.doorman;

/**
 * How much earlier than its time a request is to be ended, so that its final answer comes in time also where the process
 * stands still just then: as long as the longest standstill seen lately, which counts for less as time goes by. Before any
 * was seen one is presumed, since the first comes unannounced; what is presumed costs only time after the request was wanted.
 */
final class StandstillMargin {

    /** Time after which a standstill counts for half. */
    private static final double HALF_LIFE_MS = 10_000;
    /** The part of a request's time that may be given up for standstills that were seen. */
    private static final double MOST_SHARE = 0.25;
    /** What is presumed of any machine: waits that end late by up to this were seen where nothing was wrong. */
    private static final double PRESUMED_MS = 500;
    /** The part of the time after a request was wanted that may be given up for what is presumed. */
    private static final double PRESUMED_SHARE = 0.25;

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

    /** The margin for a request that has so much time, and is wanted within {@code wantedMs}. */
    double of(double remainingMs, double wantedMs, double nowMs) {
        double seen = Math.min(longestMs(nowMs), remainingMs * MOST_SHARE);
        double presumed = Math.min(PRESUMED_MS, Math.max(0, remainingMs - wantedMs) * PRESUMED_SHARE);
        return Math.max(seen, presumed);
    }
}
