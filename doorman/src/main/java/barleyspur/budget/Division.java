package barleyspur.budget;

/**
 * Weighted max-min fair allocation in whole units. If the total demand fits, each holder gets its demand. Otherwise no
 * holder gets more than its demand, and each unsatisfied holder gets at least as much per weight as any other
 * (Bertsekas and Gallager 1992, section 6.5.2).
 */
final class Division {

    private Division() {}

    /**
     * Allocates {@code total} whole units.
     *
     * @param parts fair share of each holder with fractional units, by {@link #level}
     * @param wants demands in units, at least 0
     * @param weights above 0
     * @param claims priorities for the units left over by rounding down: the largest comes first
     */
    static long[] divide(long total, double[] parts, long[] wants, double[] weights, double[] claims) {
        int n = wants.length;
        long[] given = new long[n];
        long left = total;
        for (int i = 0; i < n; i++) {
            // The tolerance keeps rounding errors from losing a unit of a share that is a whole number.
            given[i] = (long) Math.floor(parts[i] + 1e-9);
            left -= given[i];
        }
        boolean more = true;
        while (left > 0 && more) {
            int best = -1;
            for (int i = 0; i < n; i++) {
                if (given[i] < wants[i] && given[i] < parts[i] && (best < 0 || claims[i] > claims[best])) {
                    best = i;
                }
            }
            more = best >= 0;
            if (more) {
                given[best]++;
                left--;
            }
        }
        // Spreads capacity that nobody demands, so that growing demand can be met without a new request.
        double sum = 0;
        for (double w : weights) {
            sum += w;
        }
        long spare = left;
        for (int i = 0; i < n && left > 0; i++) {
            long extra = (long) Math.floor(spare * weights[i] / sum);
            given[i] += Math.min(left, extra);
            left -= Math.min(left, extra);
        }
        for (int i = 0; i < n && left > 0; i++) {
            given[i]++;
            left--;
        }
        return given;
    }

    /** Computes the fair shares with fractional units, by progressive filling. */
    static double[] level(long total, long[] wants, double[] weights) {
        int n = wants.length;
        double[] parts = new double[n];
        boolean[] full = new boolean[n];
        double left = total;
        while (true) {
            double sum = 0;
            for (int i = 0; i < n; i++) {
                sum += full[i] ? 0 : weights[i];
            }
            boolean any = false;
            double each = sum == 0 ? 0 : left / sum;
            for (int i = 0; i < n; i++) {
                if (!full[i] && wants[i] <= each * weights[i]) {
                    full[i] = true;
                    parts[i] = wants[i];
                    left -= wants[i];
                    any = true;
                }
            }
            if (!any) {
                for (int i = 0; i < n; i++) {
                    parts[i] = full[i] ? parts[i] : each * weights[i];
                }
                return parts;
            }
        }
    }
}
