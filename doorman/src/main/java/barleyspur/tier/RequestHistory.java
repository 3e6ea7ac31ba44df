package barleyspur.tier;

/**
 * Request statistics of recently requested objects, kept in the tier or not: how often they were requested, on which of
 * the last eight days, and at what time of day. A slot takes 16 bytes, the number of slots is a power of two, and at
 * most three quarters of them are used: 21 to 43 MB for about a million objects, 33.6 MB for exactly a million. When
 * the table is full, the least recently requested one of a few sampled objects is evicted.
 *
 * <p>The frequency halves every {@link #HALF_LIFE_MIN} minutes; the decay is computed when an object is read or
 * updated.
 */
final class RequestHistory {

    private static final int DAY_MIN = 1_440;
    /** Width of the time-of-day bins for the first request of a day. */
    private static final int BIN_MIN = 10;

    private static final int BINS = DAY_MIN / BIN_MIN;
    private static final int HALF_LIFE_MIN = 90;
    private static final int EVICTION_SAMPLE_SIZE = 8;
    private static final double MINUTE_MS = 60_000;
    /** Fixed-point scale of the frequencies: one request is 256. */
    private static final double COUNT_SCALE = 256;
    /** Count of an object's first request, a quarter of a request: most new objects are not requested again. */
    private static final int FIRST_REQUEST_COUNT = 64;

    private static final int MAX_COUNT = 0xFFFF;

    private final long[] objectHashes;
    private final int[] lastRequestMin;
    /** Per object: days (8 bits, the lowest is the day of lastRequestMin), bin (8 bits), frequency (16 bits). */
    private final int[] packedStatistics;

    private final int mask;
    private final int maxObjects;
    private int size;
    private long randomState = 0x9E3779B97F4A7C15L;

    /** Creates a history of at most {@code maxObjects} objects, or of 16 if that is less. */
    RequestHistory(int maxObjects) {
        int slots = Integer.highestOneBit(Math.max(16, maxObjects) * 4 / 3 - 1) << 1;
        this.maxObjects = maxObjects;
        objectHashes = new long[slots];
        lastRequestMin = new int[slots];
        packedStatistics = new int[slots];
        mask = slots - 1;
    }

    /** Statistics of an object: its current request rate, and how likely and how soon it is requested again. */
    record ObjectStatistics(double requestsPerMinute, double dailyFraction, double minutesUntilBin) {
        static final ObjectStatistics NONE = new ObjectStatistics(0, 0, DAY_MIN);
    }

    int size() {
        return size;
    }

    static int bytesPerSlot() {
        return Long.BYTES + 2 * Integer.BYTES;
    }

    int slots() {
        return objectHashes.length;
    }

    /** Hashes a number (the finisher of SplitMix64, Steele et al. 2014). */
    static long mix(long bits) {
        long first = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
        long second = (first ^ (first >>> 27)) * 0x94D049BB133111EBL;
        return second ^ (second >>> 31);
    }

    private static long hash(long object) {
        long hash = mix(object + 1);
        return hash == 0 ? 1 : hash;
    }

    private int findSlot(long hash) {
        int slot = (int) hash & mask;
        while (objectHashes[slot] != 0 && objectHashes[slot] != hash) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    /** Records a request for an object. */
    void recordRequest(long object, double nowMs) {
        int minute = (int) (nowMs / MINUTE_MS);
        long hash = hash(object);
        int slot = findSlot(hash);
        if (objectHashes[slot] == 0) {
            if (size >= maxObjects) {
                evictOne();
                slot = findSlot(hash);
            }
            size++;
            objectHashes[slot] = hash;
            lastRequestMin[slot] = minute;
            packedStatistics[slot] = 1 << 24 | minute % DAY_MIN / BIN_MIN << 16 | FIRST_REQUEST_COUNT;
            return;
        }
        int daysSince = minute / DAY_MIN - lastRequestMin[slot] / DAY_MIN;
        int daysSeen = packedStatistics[slot] >>> 24;
        int bin = packedStatistics[slot] >>> 16 & 0xFF;
        if (daysSince > 0) {
            daysSeen = daysSince > 7 ? 1 : daysSeen << daysSince & 0xFF | 1;
            bin = minute % DAY_MIN / BIN_MIN;
        }
        int count = (int) Math.min(MAX_COUNT, decayedCount(slot, minute) + COUNT_SCALE);
        lastRequestMin[slot] = minute;
        packedStatistics[slot] = daysSeen << 24 | bin << 16 | count;
    }

    private double decayedCount(int slot, int minute) {
        return (packedStatistics[slot] & 0xFFFF)
                * Math.exp(-Math.log(2) * (minute - lastRequestMin[slot]) / HALF_LIFE_MIN);
    }

    /** Returns the statistics of an object at a time. */
    ObjectStatistics statistics(long object, double nowMs) {
        int slot = findSlot(hash(object));
        if (objectHashes[slot] == 0) {
            return ObjectStatistics.NONE;
        }
        int minute = (int) (nowMs / MINUTE_MS);
        // In a steady state the mean count is the request rate times the half-life over ln 2.
        double requestsPerMinute = decayedCount(slot, minute) / COUNT_SCALE * Math.log(2) / HALF_LIFE_MIN;
        int daysSince = minute / DAY_MIN - lastRequestMin[slot] / DAY_MIN;
        int daysSeen = daysSince > 7 ? 0 : (packedStatistics[slot] >>> 24) << daysSince;
        // Counts the three days before the current one: a request of today is already part of the frequency.
        double dailyFraction = Integer.bitCount(daysSeen >> 1 & 0b111) / 3.0;
        int bin = packedStatistics[slot] >>> 16 & 0xFF;
        int minutesUntilBin = Math.floorMod(bin - minute % DAY_MIN / BIN_MIN, BINS) * BIN_MIN;
        // An object already requested today in this bin is next expected tomorrow.
        boolean requestedToday = (daysSeen & 1) != 0 && minutesUntilBin == 0;
        return new ObjectStatistics(requestsPerMinute, dailyFraction, requestedToday ? DAY_MIN : minutesUntilBin);
    }

    /** Evicts one of a few sampled objects: the one with the oldest last request, a day more for each day seen. */
    private void evictOne() {
        randomState = mix(randomState + 0x9E3779B97F4A7C15L);
        int slot = (int) randomState & mask;
        int worst = -1;
        long worstValue = Long.MAX_VALUE;
        for (int sampled = 0; sampled < EVICTION_SAMPLE_SIZE; slot = slot + 1 & mask) {
            if (objectHashes[slot] != 0) {
                sampled++;
                long value = lastRequestMin[slot] + (long) DAY_MIN * Integer.bitCount(packedStatistics[slot] >>> 24);
                if (value < worstValue) {
                    worst = slot;
                    worstValue = value;
                }
            }
        }
        remove(worst);
    }

    /** Closes the gap after a removal by shifting entries back, so that probing needs no tombstones. */
    private void remove(int hole) {
        int gap = hole;
        for (int slot = gap + 1 & mask; objectHashes[slot] != 0; slot = slot + 1 & mask) {
            int home = (int) objectHashes[slot] & mask;
            if ((slot - home & mask) >= (slot - gap & mask)) {
                objectHashes[gap] = objectHashes[slot];
                lastRequestMin[gap] = lastRequestMin[slot];
                packedStatistics[gap] = packedStatistics[slot];
                gap = slot;
            }
        }
        objectHashes[gap] = 0;
        size--;
    }
}
