package barleyspur.expect;

import net.openhft.hashing.LongHashFunction;

/**
 * Draws that hang on what they are for and not on how many were made before: a scenario that loses a request leaves
 * all others as they were, without which no counterexample could be made smaller.
 */
final class KeyedRandom {

    private final LongHashFunction hash;

    KeyedRandom(long seed) {
        hash = LongHashFunction.xx3(seed);
    }

    /** From 0 up to 1, the same for the same three numbers. */
    double uniform(long firstKey, long secondKey, long thirdKey) {
        long hashed = hash.hashLong(hash.hashLong(hash.hashLong(firstKey) ^ secondKey) ^ thirdKey);
        return (hashed >>> 11) * 0x1p-53;
    }

    double uniformBetween(double min, double max, long firstKey, long secondKey, long thirdKey) {
        return min + (max - min) * uniform(firstKey, secondKey, thirdKey);
    }
}
