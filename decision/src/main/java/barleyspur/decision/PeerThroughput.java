package barleyspur.decision;

/**
 * The work that the nodes of one role serve for this doorman: their recent rate in all, and the highest average for
 * one of them, which is still known when all are cold.
 */
final class PeerThroughput {

    private final RateEstimator totalRate;
    private double peakPerPeer;

    PeerThroughput(double timeConstantMs) {
        totalRate = new RateEstimator(timeConstantMs);
    }

    /** Adds work that one of so many peers has served. */
    void add(double workMs, int peers, double nowMs) {
        totalRate.add(workMs, nowMs);
        peakPerPeer = Math.max(peakPerPeer, totalRate.perMs(nowMs) / Math.max(1, peers));
    }

    /** Returns the highest average work in a millisecond that one peer has served for this doorman. */
    double peakPerPeer() {
        return peakPerPeer;
    }
}
