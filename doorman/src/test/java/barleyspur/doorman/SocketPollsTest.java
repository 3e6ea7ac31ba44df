package barleyspur.doorman;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.SelectStrategy;
import org.junit.jupiter.api.Test;

/** Tests the lower bound for the arrival time of data that an iteration of the event loop reads. */
class SocketPollsTest {

    private static final double LONGEST_WAIT_MS = 5_000;

    private final SocketPolls polls = new SocketPolls();
    private double now = 1_000;

    SocketPollsTest() {
        polls.setClock(() -> now);
    }

    private int poll(int ready, boolean hasTasks) throws Exception {
        return polls.poll(() -> ready, hasTasks, LONGEST_WAIT_MS);
    }

    @Test
    void whatEndsAWaitHasJustCome() throws Exception {
        assertEquals(SelectStrategy.SELECT, poll(0, false));
        now = 5_000;
        polls.polled();
        now = 5_400;
        assertEquals(5_000, polls.pendingSinceMs(), "the iteration is long and began at the end of the wait");
    }

    @Test
    void whatIsFoundAtOnceCameSinceThePollBefore() throws Exception {
        poll(0, false);
        now = 5_000;
        polls.polled();
        now = 5_700;
        assertEquals(3, poll(3, false));
        polls.polled();
        now = 5_800;
        assertEquals(5_000, polls.pendingSinceMs());
        assertEquals(2, poll(2, true));
        polls.polled();
        assertEquals(5_700, polls.pendingSinceMs());
    }

    @Test
    void aWaitOfWhichNothingCameIsNoDelay() throws Exception {
        poll(0, false);
        now = 5_000;
        polls.polled();
        assertEquals(0, poll(0, true));
        polls.polled();
        now = 5_010;
        poll(0, false);
        now = 9_000;
        polls.polled();
        assertEquals(9_000, polls.pendingSinceMs());
    }

    /** A process that stalled during a wait can't know when during the wait its input arrived. */
    @Test
    void whatIsFoundAfterAStandstillMayHaveComeAtAnyMomentOfTheWait() throws Exception {
        now = 2_000;
        poll(0, false);
        now = 2_000 + LONGEST_WAIT_MS + 600;
        polls.polled();
        assertEquals(2_000, polls.pendingSinceMs());
    }

    @Test
    void aWaitThatEndsAlmostInTimeIsNoStandstill() throws Exception {
        now = 2_000;
        poll(0, false);
        now = 2_000 + LONGEST_WAIT_MS + 3;
        polls.polled();
        assertEquals(now, polls.pendingSinceMs());
    }
}
