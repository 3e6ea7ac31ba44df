package barleyspur.decision;

/**
 * Weighted rendezvous hashing: an object belongs to the node with the highest score for it, and the order of the
 * other nodes does not change when one is removed (Thaler and Ravishankar 1998; weights as by Schindelhauer and
 * Schomaker 2005).
 */
final class Rendezvous {

    private Rendezvous() {}

    /**
     * Returns the score, above 0, of a node with this {@link #nodeHash} for an object; or 0 if the score can't exceed
     * the threshold. Most such scores are recognized without a logarithm, as -log(u) is at least 1 - u.
     */
    static double score(long object, long nodeHash, double weight, double threshold) {
        long mixed = mix(object * 0x9E3779B97F4A7C15L ^ nodeHash);
        double uniform = ((mixed >>> 11) + 0.5) * 0x1p-53;
        return weight > threshold * (1 - uniform) * (1 - 1e-9) ? -weight / Math.log(uniform) : 0;
    }

    /** Returns the hash of a node's id that its scores are computed from. */
    static long nodeHash(long node) {
        return mix(node + 0x632BE59BD9B4E019L);
    }

    /** Returns a pseudorandom number from 0 to 1 that depends on the id only. */
    static double unitHash(long id) {
        return (mix(id) >>> 11) * 0x1p-53;
    }

    /** Mixes the bits of a number (the finalizer of SplitMix64), so that near values give unrelated results. */
    static long mix(long value) {
        long first = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        long second = (first ^ (first >>> 27)) * 0x94D049BB133111EBL;
        return second ^ (second >>> 31);
    }
}
