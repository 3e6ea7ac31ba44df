package barleyspur.fleet;

/**
 * The times of a fleet view, all derived from its period, in milliseconds.
 *
 * @param periodMs   between two probes by one member
 * @param deadRetentionMs how long the dead are remembered, and tried again
 */
public record ProtocolTimings(double periodMs, double deadRetentionMs) {

    /** News are told this often within a period. */
    private static final double GOSSIP_ROUNDS_PER_PERIOD = 5;

    private static final double DIRECT_PROBE_SHARE = 0.4;
    private static final double MIN_SUSPICION_PERIODS = 2;
    /** How much longer a suspicion lasts that nobody else confirms, and that nobody else is there to confirm. */
    private static final double MAX_SUSPICION_FACTOR = 4;

    private static final double UNCONFIRMABLE_SUSPICION_FACTOR = 2;

    double gossipIntervalMs() {
        return periodMs / GOSSIP_ROUNDS_PER_PERIOD;
    }

    /** How long a direct answer may take before others are asked. */
    double directProbeTimeoutMs() {
        return periodMs * DIRECT_PROBE_SHARE;
    }

    /** How long a suspicion lasts at least among {@code members}: long enough for its subject to say otherwise. */
    public double minSuspicionMs(int members) {
        return MIN_SUSPICION_PERIODS * periodMs * Math.max(1, Math.log10(Math.max(1, members)));
    }

    /** How long a suspicion lasts at most: as long as nobody else confirms it. */
    public double maxSuspicionMs(int members) {
        return MAX_SUSPICION_FACTOR * minSuspicionMs(members);
    }

    /** The time that a suspicion lasts with so many confirmations, of {@code wanted} (Lifeguard, section 4). */
    double suspicionMs(int members, int confirmations, int expectedConfirmations) {
        double minMs = minSuspicionMs(members);
        double maxMs = maxSuspicionMs(members);
        if (expectedConfirmations <= 0) {
            return UNCONFIRMABLE_SUSPICION_FACTOR * minMs;
        } else if (confirmations >= expectedConfirmations) {
            return minMs;
        }
        return maxMs - (maxMs - minMs) * Math.log(confirmations + 1.0) / Math.log(expectedConfirmations + 1.0);
    }

    /** A gap between two looks at the time beyond which the process has stood still, and its view is in doubt. */
    public double pauseThresholdMs() {
        return 2 * periodMs;
    }
}
