package barleyspur.budget;

/**
 * Weighted max-min in whole units: what everybody wants where it fits; else nobody gets more than it wants, and who gets less
 * than it wants gets as much by weight as anybody (Bertsekas and Gallager 1992, section 6.5.2).
 */
final class Division {

    private Division() {}

    /**
     * Divides {@code total} units.
     *
     * @param parts   what each gets where units can be split, by {@link #level}
     * @param wants   units, from 0 on
     * @param weights above 0
     * @param claims  who of those that are equally far from their part comes first for the units that can't be split: the
     *                greatest
     */
    static long[] divide(long total, double[] parts, long[] wants, double[] weights, double[] claims) {
        int n = wants.length;
        long[] given = new long[n];
        long left = total;
        for (int i = 0; i < n; i++) {
            // A sum of parts that is whole must not lose a unit to rounding.
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
        // What nobody wants is spread, so that a growing demand needn't ask first.
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

    /** The parts where units could be split. */
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
