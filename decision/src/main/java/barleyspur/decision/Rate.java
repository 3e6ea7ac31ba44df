package barleyspur.decision;

/** Estimates a rate by exponentially decaying the amounts added, from the first amount on. */
final class Rate {

    /** The time after which an amount has decayed to 1/e. */
    private final double overMs;

    private double sum;
    private double startedAt = Double.NaN;
    private double at;

    Rate(double overMs) {
        this.overMs = overMs;
    }

    /** Adds an amount at the current time. */
    void add(double amount, double now) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
        } else {
            sum *= Math.exp((at - now) / overMs);
        }
        sum += amount;
        at = now;
    }

    /** Returns the rate per millisecond: unbiased once a quarter of the time constant has passed, too low before. */
    double perMs(double now) {
        if (Double.isNaN(startedAt)) {
            return 0;
        }
        double seen = Math.max(now - startedAt, overMs / 4);
        return sum * Math.exp((at - now) / overMs) / (overMs * (1 - Math.exp(-seen / overMs)));
    }
}
