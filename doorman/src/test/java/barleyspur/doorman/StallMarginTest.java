package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how much of a request's time is reserved for process stalls when its answer is due. */
class StallMarginTest {

    private final StallMargin margin = new StallMargin();

    /** Without a stall a request has all its time. */
    @Test
    void nothingIsReservedBeforeAStallWasObserved() {
        assertEquals(0, margin.marginMs(6_000, 0));
    }

    /** On machines that stall often the longest recent stall counts, with a weight that decays over time. */
    @Test
    void longestRecentStallDecaysOverTime() {
        margin.observe(0, 1_200);
        margin.observe(0, 700);
        assertEquals(1_200, margin.marginMs(6_000, 0));
        assertEquals(600, margin.marginMs(6_000, 10_000), "half after ten seconds");
        assertEquals(18.75, margin.marginMs(6_000, 60_000), 1e-9, "hardly anything after a minute");
        assertEquals(750, margin.marginMs(3_000, 0), "at most a quarter of its time");
    }
}
