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
public final class RecurrencePolicy implements RetentionPolicy {

    /** Number of kept parts that are sampled for an eviction. */
    private static final int SAMPLE_SIZE = 24;
    /**
     * Decay of an expected daily request with its distance: after so many minutes it is worth 1/e of one that is due.
     */
    private static final double RECURRENCE_DECAY_MIN = 1_000;
    /** Request rate that an expected daily request counts as: that of an object with one request an hour. */
    private static final double RECURRENCE_RATE_PER_MINUTE = 1 / 60.0;
    /** Exponent of the size: 0 would maximize the hit ratio by bytes, 1 the one by requests. */
    private static final double SIZE_EXPONENT = 0.6;

    private record Victim(long object, int part, int kb) {}

    private final long capacityKb;
    private final RequestHistory history;
    private final PartTable keptParts = new PartTable();
    private long keptKb;
    private long randomState;

    /**
     * Creates an empty store.
     *
     * @param capacityKb the capacity, above 0
     * @param maxObjects the maximum number of objects in the history
     * @param seed for the sampling
     */
    public RecurrencePolicy(long capacityKb, int maxObjects, long seed) {
        this.capacityKb = capacityKb;
        this.history = new RequestHistory(maxObjects);
        this.randomState = seed;
    }

    @Override
    public long keptKb() {
        return keptKb;
    }

    @Override
    public boolean recordRequest(long object, int part, int kb, double nowMs) {
        history.recordRequest(object, nowMs);
        return keptParts.contains(object, part);
    }

    /** Returns the value of a part per weighted size. */
    private double value(long object, int kb, double nowMs) {
        RequestHistory.ObjectStatistics statistics = history.statistics(object, nowMs);
        double recurrencePerMinute = statistics.dailyFraction()
                * RECURRENCE_RATE_PER_MINUTE
                * Math.exp(-statistics.minutesUntilBin() / RECURRENCE_DECAY_MIN);
        return (statistics.requestsPerMinute() + recurrencePerMinute) / Math.pow(kb, SIZE_EXPONENT);
    }

    @Override
    public boolean admit(long object, int part, int kb, double nowMs, EvictionListener evictions) {
        if (kb > capacityKb || keptParts.contains(object, part)) {
            return false;
        }
        double value = value(object, kb, nowMs);
        List<Victim> victims = new ArrayList<>();
        long freeKb = capacityKb - keptKb;
        while (freeKb < kb) {
            Victim candidate = leastValuable(victims, nowMs);
            if (candidate == null || value(candidate.object(), candidate.kb(), nowMs) >= value) {
                return false;
            }
            victims.add(candidate);
            freeKb += candidate.kb();
        }
        for (Victim victim : victims) {
            remove(victim.object(), victim.part());
            evictions.onEviction(victim.object(), victim.part());
        }
        keptParts.put(object, part, kb);
        keptKb += kb;
        return true;
    }

    private Victim leastValuable(List<Victim> excluded, double nowMs) {
        Victim leastValuable = null;
        double leastValue = Double.POSITIVE_INFINITY;
        for (int i = 0; i < SAMPLE_SIZE && keptParts.count() > 0; i++) {
            randomState += 0x9E3779B97F4A7C15L;
            int slot = keptParts.sampleSlot(RequestHistory.mix(randomState));
            double value = value(keptParts.object(slot), keptParts.sizeKb(slot), nowMs);
            if (value < leastValue) {
                Victim sampled = new Victim(keptParts.object(slot), keptParts.part(slot), keptParts.sizeKb(slot));
                if (!excluded.contains(sampled)) {
                    leastValuable = sampled;
                    leastValue = value;
                }
            }
        }
        return leastValuable;
    }

    @Override
    public boolean remove(long object, int part) {
        int kb = keptParts.remove(object, part);
        keptKb -= kb;
        return kb > 0;
    }
}
