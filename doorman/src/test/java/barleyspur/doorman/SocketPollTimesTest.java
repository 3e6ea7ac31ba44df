package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SelectStrategy;
import org.junit.jupiter.api.Test;

/** Tests the lower bound for the arrival time of data that an iteration of the event loop reads. */
class SocketPollTimesTest {

    private static final double LONGEST_WAIT_MS = 5_000;

    private final SocketPollTimes pollTimes = new SocketPollTimes();
    private double nowMs = 1_000;

    SocketPollTimesTest() {
        pollTimes.setClock(() -> nowMs);
    }

    private int poll(int ready, boolean hasTasks) throws Exception {
        return pollTimes.poll(() -> ready, hasTasks, LONGEST_WAIT_MS);
    }

    @Test
    void inputThatEndsAWaitHasJustArrived() throws Exception {
        assertEquals(SelectStrategy.SELECT, poll(0, false));
        nowMs = 5_000;
        pollTimes.pollReturned();
        nowMs = 5_400;
        assertEquals(5_000, pollTimes.earliestArrivalMs(), "the iteration is long and began at the end of the wait");
    }

    @Test
    void inputFoundAtOnceArrivedSinceThePreviousPoll() throws Exception {
        poll(0, false);
        nowMs = 5_000;
        pollTimes.pollReturned();
        nowMs = 5_700;
        assertEquals(3, poll(3, false));
        pollTimes.pollReturned();
        nowMs = 5_800;
        assertEquals(5_000, pollTimes.earliestArrivalMs());
        assertEquals(2, poll(2, true));
        pollTimes.pollReturned();
        assertEquals(5_700, pollTimes.earliestArrivalMs());
    }

    @Test
    void waitWithoutInputIsNoDelay() throws Exception {
        poll(0, false);
        nowMs = 5_000;
        pollTimes.pollReturned();
        assertEquals(0, poll(0, true));
        pollTimes.pollReturned();
        nowMs = 5_010;
        poll(0, false);
        nowMs = 9_000;
        pollTimes.pollReturned();
        assertEquals(9_000, pollTimes.earliestArrivalMs());
    }

    /** A process that stalled during a wait can't know when during the wait its input arrived. */
    @Test
    void inputFoundAfterAStallMayHaveArrivedAnyTimeInTheWait() throws Exception {
        nowMs = 2_000;
        poll(0, false);
        nowMs = 2_000 + LONGEST_WAIT_MS + 600;
        pollTimes.pollReturned();
        assertEquals(2_000, pollTimes.earliestArrivalMs());
    }

    @Test
    void slightlyLateWakeupIsNoStall() throws Exception {
        nowMs = 2_000;
        poll(0, false);
        nowMs = 2_000 + LONGEST_WAIT_MS + 3;
        pollTimes.pollReturned();
        assertEquals(nowMs, pollTimes.earliestArrivalMs());
    }
}
