package barleyspur.tier;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the parts with the highest value per size. The value is the object's current request rate plus the rate
 * expected from its daily recurrence: on how many recent days it was requested, and how soon the time of day of those
 * requests comes. A part is admitted only if it is worth more than the parts to evict for it, so a scan of objects that
 * are requested once does not displace others. Eviction picks the least valuable of a few sampled parts (as in Redis'
 * and Caffeine's sampling, and hyperbolic caching: Blankstein et al. 2017).
 */
public final class RecurrentKeeper implements Keeper {

    /** Number of kept parts that are sampled for an eviction. */
    private static final int SAMPLE = 24;
    /**
     * Decay of an expected daily request with its distance: after so many minutes it is worth 1/e of one that is due.
     */
    private static final double AHEAD_MIN = 1_000;
    /** Request rate that an expected daily request counts as: that of an object with one request an hour. */
    private static final double RETURN_PER_MINUTE = 1 / 60.0;
    /** Exponent of the size: 0 would maximize the hit ratio by bytes, 1 the one by requests. */
    private static final double SIZE_POWER = 0.6;

    private record Leaving(long object, int part, int kb) {}

    private final long mostKb;
    private final History history;
    private final PartTable held = new PartTable();
    private long keptKb;
    private long draws;

    /**
     * Creates an empty store.
     *
     * @param mostKb the capacity, above 0
     * @param objects the maximum number of objects in the history
     * @param seed for the sampling
     */
    public RecurrentKeeper(long mostKb, int objects, long seed) {
        this.mostKb = mostKb;
        this.history = new History(objects);
        this.draws = seed;
    }

    @Override
    public long keptKb() {
        return keptKb;
    }

    @Override
    public boolean asked(long object, int part, int kb, double nowMs) {
        history.asked(object, nowMs);
        return held.holds(object, part);
    }

    /** Returns the value of a part per weighted size. */
    private double worth(long object, int kb, double nowMs) {
        History.Known k = history.known(object, nowMs);
        double back = k.dailyShare() * RETURN_PER_MINUTE * Math.exp(-k.untilBinMin() / AHEAD_MIN);
        return (k.perMinute() + back) / Math.pow(kb, SIZE_POWER);
    }

    @Override
    public boolean offered(long object, int part, int kb, double nowMs, Dropped dropped) {
        if (kb > mostKb || held.holds(object, part)) {
            return false;
        }
        double worth = worth(object, kb, nowMs);
        List<Leaving> leaving = new ArrayList<>();
        long room = mostKb - keptKb;
        while (room < kb) {
            Leaving least = least(leaving, nowMs);
            if (least == null || worth(least.object(), least.kb(), nowMs) >= worth) {
                return false;
            }
            leaving.add(least);
            room += least.kb();
        }
        for (Leaving l : leaving) {
            removed(l.object(), l.part());
            dropped.part(l.object(), l.part());
        }
        held.put(object, part, kb);
        keptKb += kb;
        return true;
    }

    private Leaving least(List<Leaving> but, double nowMs) {
        Leaving least = null;
        double leastWorth = Double.POSITIVE_INFINITY;
        for (int i = 0; i < SAMPLE && held.count() > 0; i++) {
            draws += 0x9E3779B97F4A7C15L;
            int slot = held.draw(History.mix(draws));
            double worth = worth(held.object(slot), held.kb(slot), nowMs);
            if (worth < leastWorth) {
                Leaving drawn = new Leaving(held.object(slot), held.part(slot), held.kb(slot));
                if (!but.contains(drawn)) {
                    least = drawn;
                    leastWorth = worth;
                }
            }
        }
        return least;
    }

    @Override
    public boolean removed(long object, int part) {
        int kb = held.remove(object, part);
        keptKb -= kb;
        return kb > 0;
    }
}
