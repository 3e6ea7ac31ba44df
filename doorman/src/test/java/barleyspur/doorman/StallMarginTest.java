package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how much of a request's time is reserved for process stalls when its answer is due. */
class StallMarginTest {

    private final StallMargin margin = new StallMargin();

    /** The first stall comes without warning, so one is assumed before any was observed. */
    @Test
    void stallIsAssumedBeforeAnyWasObserved() {
        assertEquals(500, margin.marginMs(6_000, 2_000, 0));
        assertEquals(300, margin.marginMs(2_000, 800, 0), "a quarter of the time after the target time");
    }

    /**
     * The margin for an assumed stall never reaches into the target time of a request, so requests served in time are
     * unaffected.
     */
    @Test
    void assumedStallNeverReachesIntoTheTargetTime() {
        assertEquals(0, margin.marginMs(1_000, 1_000, 0));
        assertEquals(0, margin.marginMs(1_000, 5_000, 0), "the target time is after the client gives up");
    }

    /** On machines that stall often the longest recent stall counts, with a weight that decays over time. */
    @Test
    void longestRecentStallDecaysOverTime() {
        margin.observe(0, 1_200);
        margin.observe(0, 700);
        assertEquals(1_200, margin.marginMs(6_000, 600, 0));
        assertEquals(600, margin.marginMs(6_000, 600, 10_000), "half after ten seconds");
        assertEquals(500, margin.marginMs(6_000, 600, 60_000), "not below the assumed stall");
        assertEquals(750, margin.marginMs(3_000, 600, 0), "at most a quarter of its time");
    }
}
