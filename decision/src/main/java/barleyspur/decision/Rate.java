package barleyspur.decision;

/** How much came in a millisecond, averaged over about a given time, from the first amount on. */
final class Rate {

    private final double overMs;
    private double sum;
    private double startedAt = Double.NaN;
    private double at;

    Rate(double overMs) {
        this.overMs = overMs;
    }

    void add(double amount, double now) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
        } else {
            sum *= Math.exp((at - now) / overMs);
        }
        sum += amount;
        at = now;
    }

    /** Unbiased once a quarter of the time has passed, too low before. */
    double perMs(double now) {
        if (Double.isNaN(startedAt)) {
            return 0;
        }
        double seen = Math.max(now - startedAt, overMs / 4);
        return sum * Math.exp((at - now) / overMs) / (overMs * (1 - Math.exp(-seen / overMs)));
    }
}
