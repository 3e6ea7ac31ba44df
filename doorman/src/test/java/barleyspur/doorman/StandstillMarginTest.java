package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How much of a request's time is kept for a process that stands still when its answer is due. */
class StandstillMarginTest {

    private final StandstillMargin margin = new StandstillMargin();

    /** Guards the first standstill: nothing announces it, so that one is presumed. */
    @Test
    void aStandstillIsPresumedBeforeAnyWasSeen() {
        assertEquals(500, margin.of(6_000, 2_000, 0));
        assertEquals(300, margin.of(2_000, 800, 0), "a quarter of the time after it is wanted");
    }

    /** Guards what is served in time: the margin never reaches into the time in which a request is wanted. */
    @Test
    void whatIsPresumedLeavesTheTimeInWhichARequestIsWanted() {
        assertEquals(0, margin.of(1_000, 1_000, 0));
        assertEquals(0, margin.of(1_000, 5_000, 0), "wanted only after its client gives up");
    }

    /** Guards machines that stand still often: the longest lately counts, and less as time goes by. */
    @Test
    void theLongestStandstillLatelyCounts() {
        margin.observe(0, 1_200);
        margin.observe(0, 700);
        assertEquals(1_200, margin.of(6_000, 600, 0));
        assertEquals(600, margin.of(6_000, 600, 10_000), "half after ten seconds");
        assertEquals(500, margin.of(6_000, 600, 60_000), "not under what is presumed");
        assertEquals(750, margin.of(3_000, 600, 0), "a quarter of its time at most");
    }
}
