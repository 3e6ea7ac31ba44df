package barleyspur.fleet;

/**
 * The intervals and timeouts of the membership protocol, derived from its period.
 *
 * @param periodMs        the interval between two probes by one member
 * @param deadRetentionMs how long dead and departed members are remembered and contacted again
 */
public record ProtocolTimings(double periodMs, double deadRetentionMs) {

    /** The number of gossip rounds in a period. */
    private static final double GOSSIP_ROUNDS_PER_PERIOD = 5;

    private static final double DIRECT_PROBE_SHARE = 0.4;
    private static final double MIN_SUSPICION_PERIODS = 2;
    /** The maximum duration of a suspicion, reached while no other member confirms it, as a multiple of the minimum. */
    private static final double MAX_SUSPICION_FACTOR = 4;

    /** The duration of a suspicion that no other member could confirm, as a multiple of the minimum. */
    private static final double UNCONFIRMABLE_SUSPICION_FACTOR = 2;

    double gossipIntervalMs() {
        return periodMs / GOSSIP_ROUNDS_PER_PERIOD;
    }

    /** How long to wait for the answer to a direct ping before others are asked to ping the target. */
    double directProbeTimeoutMs() {
        return periodMs * DIRECT_PROBE_SHARE;
    }

    /** The minimum duration of a suspicion in a fleet of {@code members}: long enough for the suspect to refute it. */
    public double minSuspicionMs(int members) {
        return MIN_SUSPICION_PERIODS * periodMs * Math.max(1, Math.log10(Math.max(1, members)));
    }

    /** The maximum duration of a suspicion, which applies while no other member confirms it. */
    public double maxSuspicionMs(int members) {
        return MAX_SUSPICION_FACTOR * minSuspicionMs(members);
    }

    /**
     * The duration of a suspicion with some confirmations out of {@code expectedConfirmations} (Lifeguard, section 4).
     */
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

    /** The gap between two readings of the clock above which this process was paused and its view is in doubt. */
    public double pauseThresholdMs() {
        return 2 * periodMs;
    }
}
