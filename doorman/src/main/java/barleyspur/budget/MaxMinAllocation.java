package barleyspur.budget;

/**
 * Weighted max-min fair allocation in whole units. If the total demand fits, each holder gets its demand. Otherwise no
 * holder gets more than its demand, and each unsatisfied holder gets at least as much per weight as any other
 * (Bertsekas and Gallager 1992, section 6.5.2).
 */
final class MaxMinAllocation {

    private MaxMinAllocation() {}

    /**
     * Allocates {@code total} whole units.
     *
     * @param fairShares of the holders in fractional units, by {@link #fairShares}
     * @param demands in units, at least 0
     * @param weights above 0
     * @param priorities for the units left over by rounding down: the largest comes first
     */
    static long[] allocate(long total, double[] fairShares, long[] demands, double[] weights, double[] priorities) {
        int count = demands.length;
        long[] allocation = new long[count];
        long remaining = total;
        for (int i = 0; i < count; i++) {
            // The tolerance keeps rounding errors from losing a unit of a share that is a whole number.
            allocation[i] = (long) Math.floor(fairShares[i] + 1e-9);
            remaining -= allocation[i];
        }
        boolean more = true;
        while (remaining > 0 && more) {
            int best = -1;
            for (int i = 0; i < count; i++) {
                if (allocation[i] < demands[i]
                        && allocation[i] < fairShares[i]
                        && (best < 0 || priorities[i] > priorities[best])) {
                    best = i;
                }
            }
            more = best >= 0;
            if (more) {
                allocation[best]++;
                remaining--;
            }
        }
        // Spreads capacity that nobody demands, so that growing demand can be met without a new request.
        double weightSum = 0;
        for (double weight : weights) {
            weightSum += weight;
        }
        long spare = remaining;
        for (int i = 0; i < count && remaining > 0; i++) {
            long extra = (long) Math.floor(spare * weights[i] / weightSum);
            allocation[i] += Math.min(remaining, extra);
            remaining -= Math.min(remaining, extra);
        }
        for (int i = 0; i < count && remaining > 0; i++) {
            allocation[i]++;
            remaining--;
        }
        return allocation;
    }

    /** Computes the fair shares with fractional units, by progressive filling. */
    static double[] fairShares(long total, long[] demands, double[] weights) {
        int count = demands.length;
        double[] fairShares = new double[count];
        boolean[] satisfied = new boolean[count];
        double remaining = total;
        while (true) {
            double weightSum = 0;
            for (int i = 0; i < count; i++) {
                weightSum += satisfied[i] ? 0 : weights[i];
            }
            boolean changed = false;
            double perWeight = weightSum == 0 ? 0 : remaining / weightSum;
            for (int i = 0; i < count; i++) {
                if (!satisfied[i] && demands[i] <= perWeight * weights[i]) {
                    satisfied[i] = true;
                    fairShares[i] = demands[i];
                    remaining -= demands[i];
                    changed = true;
                }
            }
            if (!changed) {
                for (int i = 0; i < count; i++) {
                    fairShares[i] = satisfied[i] ? fairShares[i] : perWeight * weights[i];
                }
                return fairShares;
            }
        }
    }
}
