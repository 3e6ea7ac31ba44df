package barleyspur.expect;

import net.openhft.hashing.LongHashFunction;

/**
 * Pseudo-random numbers that are determined by the seed and the caller's keys, not by the number of earlier calls.
 * Therefore removing a request from a scenario does not change the random choices for the others, which is needed to
 * shrink counterexamples.
 */
final class KeyedRandom {

    private final LongHashFunction hash;

    KeyedRandom(long seed) {
        hash = LongHashFunction.xx3(seed);
    }

    /** A number from 0 (inclusive) to 1 (exclusive), the same for the same keys. */
    double uniform(long firstKey, long secondKey, long thirdKey) {
        long hashed = hash.hashLong(hash.hashLong(hash.hashLong(firstKey) ^ secondKey) ^ thirdKey);
        return (hashed >>> 11) * 0x1p-53;
    }

    /** A number from {@code min} (inclusive) to {@code max} (exclusive), the same for the same keys. */
    double uniformBetween(double min, double max, long firstKey, long secondKey, long thirdKey) {
        return min + (max - min) * uniform(firstKey, secondKey, thirdKey);
    }
}
