package barleyspur.decision;

/**
 * Rendezvous hashing weighted by size: of all nodes the one with the highest score for an object comes first, and
 * the order of the others does not change when one goes (Thaler and Ravishankar 1998; weights as by Schindelhauer and
 * Schomaker 2005).
 */
final class Rendezvous {

    private Rendezvous() {}

    /**
     * The score for an object of a node with this {@link #hash}, over 0; or 0 where it can't come to more than {@code beyond}. That is seen
     * without a logarithm in most cases, as -log(u) is over 1 - u.
     */
    static double score(long object, long hash, double size, double beyond) {
        long h = mix(object * 0x9E3779B97F4A7C15L ^ hash);
        double u = ((h >>> 11) + 0.5) * 0x1p-53;
        return size > beyond * (1 - u) * (1 - 1e-9) ? -size / Math.log(u) : 0;
    }

    /** A node's own part in its scores. */
    static long hash(long node) {
        return mix(node + 0x632BE59BD9B4E019L);
    }

    /** A number from 0 to 1, the same for the same id, that tells nothing of its order. */
    static double unit(long id) {
        return (mix(id) >>> 11) * 0x1p-53;
    }

    /** Spreads the bits of a number: what is near each other is so no more. */
    static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
        return b ^ (b >>> 31);
    }
}
