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
final class History {

    private static final int DAY_MIN = 1_440;
    /** Width of the time-of-day bins for the first request of a day. */
    private static final int BIN_MIN = 10;

    private static final int BINS = DAY_MIN / BIN_MIN;
    private static final int HALF_LIFE_MIN = 90;
    private static final int LOOKED_AT = 8;
    private static final double MINUTE_MS = 60_000;
    /** Fixed-point scale of the frequencies: one request is 256. */
    private static final double UNIT = 256;
    /** Count of an object's first request, a quarter of a request: most new objects are not requested again. */
    private static final int FIRST = 64;

    private static final int MOST_COUNT = 0xFFFF;

    private final long[] objects;
    private final int[] lastMin;
    /** Per object: days (8 bits, the lowest is the day of lastMin), bin (8 bits), frequency (16 bits). */
    private final int[] packed;

    private final int mask;
    private final int most;
    private int size;
    private long draws = 0x9E3779B97F4A7C15L;

    /** Creates a history of at most {@code most} objects, or of 16 if that is less. */
    History(int most) {
        int slots = Integer.highestOneBit(Math.max(16, most) * 4 / 3 - 1) << 1;
        this.most = most;
        objects = new long[slots];
        lastMin = new int[slots];
        packed = new int[slots];
        mask = slots - 1;
    }

    /** Statistics of an object: its current request rate, and how likely and how soon it is requested again. */
    record Known(double perMinute, double dailyShare, double untilBinMin) {
        static final Known NOTHING = new Known(0, 0, DAY_MIN);
    }

    int size() {
        return size;
    }

    static int bytesPerSlot() {
        return Long.BYTES + 2 * Integer.BYTES;
    }

    int slots() {
        return objects.length;
    }

    /** Hashes a number (the finisher of SplitMix64, Steele et al. 2014). */
    static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        long b = (a ^ (a >>> 27)) * 0x94D049BB133111EBL;
        return b ^ (b >>> 31);
    }

    private static long name(long object) {
        long name = mix(object + 1);
        return name == 0 ? 1 : name;
    }

    private int find(long name) {
        int at = (int) name & mask;
        while (objects[at] != 0 && objects[at] != name) {
            at = at + 1 & mask;
        }
        return at;
    }

    /** Records a request for an object. */
    void asked(long object, double nowMs) {
        int minute = (int) (nowMs / MINUTE_MS);
        long name = name(object);
        int at = find(name);
        if (objects[at] == 0) {
            if (size >= most) {
                forgetOne();
                at = find(name);
            }
            size++;
            objects[at] = name;
            lastMin[at] = minute;
            packed[at] = 1 << 24 | minute % DAY_MIN / BIN_MIN << 16 | FIRST;
            return;
        }
        int days = minute / DAY_MIN - lastMin[at] / DAY_MIN;
        int seen = packed[at] >>> 24;
        int bin = packed[at] >>> 16 & 0xFF;
        if (days > 0) {
            seen = days > 7 ? 1 : seen << days & 0xFF | 1;
            bin = minute % DAY_MIN / BIN_MIN;
        }
        int count = (int) Math.min(MOST_COUNT, aged(at, minute) + UNIT);
        lastMin[at] = minute;
        packed[at] = seen << 24 | bin << 16 | count;
    }

    private double aged(int at, int minute) {
        return (packed[at] & 0xFFFF) * Math.exp(-Math.log(2) * (minute - lastMin[at]) / HALF_LIFE_MIN);
    }

    /** Returns the statistics of an object at a time. */
    Known known(long object, double nowMs) {
        int at = find(name(object));
        if (objects[at] == 0) {
            return Known.NOTHING;
        }
        int minute = (int) (nowMs / MINUTE_MS);
        // In a steady state the mean count is the request rate times the half-life over ln 2.
        double perMinute = aged(at, minute) / UNIT * Math.log(2) / HALF_LIFE_MIN;
        int days = minute / DAY_MIN - lastMin[at] / DAY_MIN;
        int seen = days > 7 ? 0 : (packed[at] >>> 24) << days;
        // Counts the three days before the current one: a request of today is already part of the frequency.
        double share = Integer.bitCount(seen >> 1 & 0b111) / 3.0;
        int bin = packed[at] >>> 16 & 0xFF;
        int until = Math.floorMod(bin - minute % DAY_MIN / BIN_MIN, BINS) * BIN_MIN;
        // An object already requested today in this bin is next expected tomorrow.
        boolean doneToday = (seen & 1) != 0 && until == 0;
        return new Known(perMinute, share, doneToday ? DAY_MIN : until);
    }

    /** Evicts one of a few sampled objects: the one with the oldest last request, a day more for each day seen. */
    private void forgetOne() {
        draws = mix(draws + 0x9E3779B97F4A7C15L);
        int at = (int) draws & mask;
        int worst = -1;
        long worstValue = Long.MAX_VALUE;
        for (int looked = 0; looked < LOOKED_AT; at = at + 1 & mask) {
            if (objects[at] != 0) {
                looked++;
                long value = lastMin[at] + (long) DAY_MIN * Integer.bitCount(packed[at] >>> 24);
                if (value < worstValue) {
                    worst = at;
                    worstValue = value;
                }
            }
        }
        remove(worst);
    }

    /** Closes the gap after a removal by shifting entries back, so that probing needs no tombstones. */
    private void remove(int hole) {
        int gap = hole;
        for (int at = gap + 1 & mask; objects[at] != 0; at = at + 1 & mask) {
            int home = (int) objects[at] & mask;
            if ((at - home & mask) >= (at - gap & mask)) {
                objects[gap] = objects[at];
                lastMin[gap] = lastMin[at];
                packed[gap] = packed[at];
                gap = at;
            }
        }
        objects[gap] = 0;
        size--;
    }
}
