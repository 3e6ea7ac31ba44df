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
class RecurrentKeeperTest {

    private static final double MINUTE = 60_000;
    private static final double DAY = 1_440 * MINUTE;

    private static boolean ask(Keeper k, long object, int kb, double now) {
        boolean hit = k.asked(object, 0, kb, now);
        if (!hit) {
            k.offered(object, 0, kb, now, (o, p) -> {});
        }
        return hit;
    }

    /**
     * Objects that are requested each morning survive a day of objects that are requested once. They count as daily
     * after three days.
     */
    @Test
    void theMorningsObjectsSurviveADayOfScans() {
        Keeper keeper = new RecurrentKeeper(100, 10_000, 1);
        long once = 1_000_000;
        int hits = 0;
        for (int day = 0; day < 6; day++) {
            for (int i = 0; i < 60; i++) {
                hits += ask(keeper, i, 1, day * DAY + 420 * MINUTE + i * 100) && day >= 3 ? 1 : 0;
            }
            for (int i = 0; i < 3_000; i++) {
                ask(keeper, once++, 1, day * DAY + 600 * MINUTE + i * 10_000);
            }
        }
        assertTrue(hits >= 3 * 60 * 0.9, hits + " of 180 hits");
    }

    /** Of objects with the same request rate, many small ones are kept rather than a few large ones. */
    @Test
    void smallOnesBeforeLargeOnes() {
        Keeper keeper = new RecurrentKeeper(100, 10_000, 1);
        for (int round = 0; round < 50; round++) {
            for (int i = 0; i < 50; i++) {
                ask(keeper, i, 1, round * MINUTE);
                ask(keeper, 100 + i, 50, round * MINUTE);
            }
        }
        int small = 0;
        for (int i = 0; i < 50; i++) {
            small += keeper.asked(i, 0, 1, 50 * MINUTE) ? 1 : 0;
        }
        assertTrue(small >= 48, small + " of 50 small objects are kept");
    }

    /** Reported hits, evictions and sizes match a model under random operations, and the capacity is never exceeded. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theBooksAreRight(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Keeper keeper = new RecurrentKeeper(200, 100, seed);
        Map<Long, Integer> kept = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(20_000);
            long object = random.nextInt(300);
            int kb = 1 + (int) (object % 17);
            if (random.nextInt(20) == 0) {
                assertEquals(kept.remove(object) != null, keeper.removed(object, 0));
            } else {
                assertEquals(kept.containsKey(object), keeper.asked(object, 0, kb, now));
                Set<Long> dropped = new HashSet<>();
                if (keeper.offered(object, 0, kb, now, (o, p) -> dropped.add(o))) {
                    assertTrue(kept.keySet().containsAll(dropped));
                    kept.keySet().removeAll(dropped);
                    kept.put(object, kb);
                } else {
                    assertTrue(dropped.isEmpty(), "parts were evicted for one that was not admitted");
                }
            }
            assertEquals(kept.values().stream().mapToInt(Integer::intValue).sum(), keeper.keptKb());
            assertTrue(keeper.keptKb() <= 200);
        }
    }

    /** A part larger than the capacity doesn't evict anything. */
    @Test
    void whatIsTooLargePushesNothingOut() {
        Keeper keeper = new RecurrentKeeper(100, 100, 1);
        ask(keeper, 1, 60, 0);
        assertFalse(keeper.offered(2, 0, 101, 0, (o, p) -> {}));
        assertEquals(60, keeper.keptKb());
    }

    /** The history stays within its memory limit for any number of objects, and finds its entries after evictions. */
    @Test
    void theHistoryIsBounded() {
        History history = new History(1_000);
        for (int i = 0; i < 200_000; i++) {
            history.asked(i, i * 100.0);
            assertTrue(history.size() <= 1_000);
            assertTrue(history.known(i, i * 100.0).perMinute() > 0, "the latest object is missing");
        }
        assertTrue(History.bytesPerSlot() * (double) new History(1_000_000).slots() <= 34e6);
    }

    /** A daily recurrence is recognized by days and time of day, and forgotten when it stops. */
    @Test
    void daysAndTimesOfReturn() {
        History history = new History(100);
        for (int day = 0; day < 3; day++) {
            history.asked(7, day * DAY + 420 * MINUTE);
        }
        History.Known before = history.known(7, 3 * DAY + 360 * MINUTE);
        assertEquals(1, before.dailyShare(), 1e-9);
        assertEquals(60, before.untilBinMin(), 1e-9);
        assertEquals(0, history.known(7, 12 * DAY).dailyShare(), 1e-9);
        assertEquals(0, history.known(8, 3 * DAY).perMinute(), 1e-9);
    }
}
