package barleyspur.decision;

/** Estimates a rate by exponentially decaying the amounts added, from the first amount on. */
final class RateEstimator {

    /** The time after which an amount has decayed to 1/e. */
    private final double timeConstantMs;

    private double decayedSum;
    private double firstSampleMs = Double.NaN;
    private double lastSampleMs;

    RateEstimator(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    /** Adds an amount at the current time. */
    void add(double amount, double nowMs) {
        if (Double.isNaN(firstSampleMs)) {
            firstSampleMs = nowMs;
        } else {
            decayedSum *= Math.exp((lastSampleMs - nowMs) / timeConstantMs);
        }
        decayedSum += amount;
        lastSampleMs = nowMs;
    }

    /** Returns the rate per millisecond: unbiased once a quarter of the time constant has passed, too low before. */
    double perMs(double nowMs) {
        if (Double.isNaN(firstSampleMs)) {
            return 0;
        }
        double observedMs = Math.max(nowMs - firstSampleMs, timeConstantMs / 4);
        return decayedSum
                * Math.exp((lastSampleMs - nowMs) / timeConstantMs)
                / (timeConstantMs * (1 - Math.exp(-observedMs / timeConstantMs)));
    }
}
