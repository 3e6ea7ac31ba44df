package barleyspur.tier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the retention of daily recurring objects under scans, and the bounds on the size of the tier and its history.
 */
class RecurrencePolicyTest {

    private static final double MINUTE_MS = 60_000;
    private static final double DAY_MS = 1_440 * MINUTE_MS;

    private static boolean request(RetentionPolicy policy, long object, int kb, double nowMs) {
        boolean hit = policy.recordRequest(object, 0, kb, nowMs);
        if (!hit) {
            policy.admit(object, 0, kb, nowMs, (o, p) -> {});
        }
        return hit;
    }

    /**
     * Objects that are requested each morning survive a day of objects that are requested once. They count as daily
     * after three days.
     */
    @Test
    void dailyObjectsSurviveADayOfScans() {
        RetentionPolicy policy = new RecurrencePolicy(100, 10_000, 1);
        long once = 1_000_000;
        int hits = 0;
        for (int day = 0; day < 6; day++) {
            for (int i = 0; i < 60; i++) {
                hits += request(policy, i, 1, day * DAY_MS + 420 * MINUTE_MS + i * 100) && day >= 3 ? 1 : 0;
            }
            for (int i = 0; i < 3_000; i++) {
                request(policy, once++, 1, day * DAY_MS + 600 * MINUTE_MS + i * 10_000);
            }
        }
        assertTrue(hits >= 3 * 60 * 0.9, hits + " of 180 hits");
    }

    /** Of objects with the same request rate, many small ones are kept rather than a few large ones. */
    @Test
    void smallObjectsArePreferred() {
        RetentionPolicy policy = new RecurrencePolicy(100, 10_000, 1);
        for (int round = 0; round < 50; round++) {
            for (int i = 0; i < 50; i++) {
                request(policy, i, 1, round * MINUTE_MS);
                request(policy, 100 + i, 50, round * MINUTE_MS);
            }
        }
        int small = 0;
        for (int i = 0; i < 50; i++) {
            small += policy.recordRequest(i, 0, 1, 50 * MINUTE_MS) ? 1 : 0;
        }
        assertTrue(small >= 48, small + " of 50 small objects are kept");
    }

    /** Reported hits, evictions and sizes match a model under random operations, and the capacity is never exceeded. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void stateMatchesAModel(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RetentionPolicy policy = new RecurrencePolicy(200, 100, seed);
        Map<Long, Integer> kept = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(20_000);
            long object = random.nextInt(300);
            int kb = 1 + (int) (object % 17);
            if (random.nextInt(20) == 0) {
                assertEquals(kept.remove(object) != null, policy.remove(object, 0));
            } else {
                assertEquals(kept.containsKey(object), policy.recordRequest(object, 0, kb, now));
                Set<Long> dropped = new HashSet<>();
                if (policy.admit(object, 0, kb, now, (o, p) -> dropped.add(o))) {
                    assertTrue(kept.keySet().containsAll(dropped));
                    kept.keySet().removeAll(dropped);
                    kept.put(object, kb);
                } else {
                    assertTrue(dropped.isEmpty(), "parts were evicted for one that was not admitted");
                }
            }
            assertEquals(kept.values().stream().mapToInt(Integer::intValue).sum(), policy.keptKb());
            assertTrue(policy.keptKb() <= 200);
        }
    }

    /** A part larger than the capacity doesn't evict anything. */
    @Test
    void aTooLargePartEvictsNothing() {
        RetentionPolicy policy = new RecurrencePolicy(100, 100, 1);
        request(policy, 1, 60, 0);
        assertFalse(policy.admit(2, 0, 101, 0, (o, p) -> {}));
        assertEquals(60, policy.keptKb());
    }

    /** The history stays within its memory limit for any number of objects, and finds its entries after evictions. */
    @Test
    void historyIsBounded() {
        RequestHistory history = new RequestHistory(1_000);
        for (int i = 0; i < 200_000; i++) {
            history.recordRequest(i, i * 100.0);
            assertTrue(history.size() <= 1_000);
            assertTrue(history.statistics(i, i * 100.0).requestsPerMinute() > 0, "the latest object is missing");
        }
        assertTrue(RequestHistory.bytesPerSlot() * (double) new RequestHistory(1_000_000).slots() <= 34e6);
    }

    /** A daily recurrence is recognized by days and time of day, and forgotten when it stops. */
    @Test
    void dailyRecurrenceIsRecognized() {
        RequestHistory history = new RequestHistory(100);
        for (int day = 0; day < 3; day++) {
            history.recordRequest(7, day * DAY_MS + 420 * MINUTE_MS);
        }
        RequestHistory.ObjectStatistics before = history.statistics(7, 3 * DAY_MS + 360 * MINUTE_MS);
        assertEquals(1, before.dailyFraction(), 1e-9);
        assertEquals(60, before.minutesUntilBin(), 1e-9);
        assertEquals(0, history.statistics(7, 12 * DAY_MS).dailyFraction(), 1e-9);
        assertEquals(0, history.statistics(8, 3 * DAY_MS).requestsPerMinute(), 1e-9);
    }
}
