package barleyspur.fleet;

/**
 * The times of a fleet view, all derived from its period, in milliseconds.
 *
 * @param periodMs   between two probes by one member
 * @param rememberMs how long the dead are remembered, and tried again
 */
public record Times(double periodMs, double rememberMs) {

    /** News are told this often within a period. */
    private static final double ROUNDS = 5;

    private static final double DIRECT_SHARE = 0.4;
    private static final double LEAST_SUSPICION = 2;
    /** How much longer a suspicion lasts that nobody else confirms, and that nobody else is there to confirm. */
    private static final double LONGEST = 4;

    private static final double ALONE = 2;

    double roundMs() {
        return periodMs / ROUNDS;
    }

    /** How long a direct answer may take before others are asked. */
    double directMs() {
        return periodMs * DIRECT_SHARE;
    }

    /** How long a suspicion lasts at least among {@code members}: long enough for its subject to say otherwise. */
    public double leastSuspicionMs(int members) {
        return LEAST_SUSPICION * periodMs * Math.max(1, Math.log10(Math.max(1, members)));
    }

    /** How long a suspicion lasts at most: as long as nobody else confirms it. */
    public double mostSuspicionMs(int members) {
        return LONGEST * leastSuspicionMs(members);
    }

    /** The time that a suspicion lasts with so many confirmations, of {@code wanted} (Lifeguard, section 4). */
    double suspicionMs(int members, int confirmations, int wanted) {
        double least = leastSuspicionMs(members);
        double most = mostSuspicionMs(members);
        if (wanted <= 0) {
            return ALONE * least;
        } else if (confirmations >= wanted) {
            return least;
        }
        return most - (most - least) * Math.log(confirmations + 1.0) / Math.log(wanted + 1.0);
    }

    /** A gap between two looks at the time beyond which the process has stood still, and its view is in doubt. */
    public double stillMs() {
        return 2 * periodMs;
    }
}
