package barleyspur.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The phases of a doorman's lifecycle, on times that the test gives. */
class LifecycleTest {

    private final Lifecycle lifecycle = new Lifecycle();

    /** Guards health: no before the clients' address is bound, yes from then on. */
    @Test
    void healthSaysYesOnlyOnceItTakesClients() {
        assertFalse(lifecycle.ready());
        assertFalse(lifecycle.quiesce(0), "nothing to quiesce before the start");
        lifecycle.serving(10);
        assertTrue(lifecycle.ready());
        assertEquals(Lifecycle.Phase.SERVING, lifecycle.phase());
    }

    /** Guards the drain: no at once on a quiesce, yes at once on a resume, idle connections closed meanwhile. */
    @Test
    void aQuiesceSaysNoUntilTheResume() {
        lifecycle.serving(0);
        assertTrue(lifecycle.quiesce(100));
        assertFalse(lifecycle.quiesce(150), "a second call is nothing new");
        assertFalse(lifecycle.ready());
        assertTrue(lifecycle.closeWhenIdle());
        assertTrue(lifecycle.listening(), "new connections still come for 0.2 s");
        assertTrue(lifecycle.resume(5_000));
        assertTrue(lifecycle.ready());
        assertFalse(lifecycle.closeWhenIdle());
        assertTrue(lifecycle.resume(5_100), "a resume of a serving doorman is a yes");
    }

    /** Guards the drain's rule on requests of the last 2 s: kept connections are refused from 1 s on. */
    @Test
    void quiescedRequestsAreTakenForASecond() {
        lifecycle.serving(0);
        lifecycle.quiesce(1_000);
        assertTrue(lifecycle.takes(1_000 + Lifecycle.QUIESCED_TAKES_MS - 1, 100));
        assertFalse(lifecycle.takes(1_000 + Lifecycle.QUIESCED_TAKES_MS, 100));
        lifecycle.resume(3_000);
        assertTrue(lifecycle.takes(3_000, 100));
    }

    /**
     * Guards an upgrade: with a successor the old process stops listening and hands its clients over. It takes what
     * SIGKILL would excuse, and later only what is answered before SIGKILL can come; the rest is refused, so that
     * SIGKILL finds nothing it would charge as lost.
     */
    @Test
    void sigtermWithASuccessorHandsOff() {
        lifecycle.serving(0);
        double kill = Lifecycle.killAfterMs(4_740);
        assertEquals(3_700, kill, "the longest deadline counts as 3 s, and 0.7 s more");
        lifecycle.leave(2_000, true, kill);
        assertEquals(Lifecycle.Phase.HANDING_OFF, lifecycle.phase());
        assertFalse(lifecycle.listening());
        assertTrue(lifecycle.closeWhenIdle());
        assertTrue(lifecycle.takes(2_000 + Lifecycle.HANDING_OFF_TAKES_MS - 1, 4_000), "excused by SIGKILL's 0.7 s");
        assertFalse(
                lifecycle.takes(2_000 + Lifecycle.HANDING_OFF_TAKES_MS, 4_000), "it could still be open at SIGKILL");
        double left = 2_000 + kill - Lifecycle.KILL_MARGIN_MS - 3_000;
        assertTrue(lifecycle.takes(3_000, left - 1), "answered before SIGKILL");
        assertFalse(lifecycle.takes(3_000, left));
        assertFalse(lifecycle.resume(3_000), "a process that leaves is not taken back");
        assertFalse(lifecycle.ready());
    }

    /** Guards a planned restart: without a successor new connections still come, and are all taken. */
    @Test
    void sigtermAloneGoesOnListening() {
        lifecycle.serving(0);
        lifecycle.quiesce(100);
        lifecycle.leave(2_000, false, 3_700);
        assertEquals(Lifecycle.Phase.LEAVING, lifecycle.phase());
        assertTrue(lifecycle.listening());
        assertFalse(lifecycle.closeWhenIdle());
        assertTrue(lifecycle.takes(60_000, 4_000));
        assertFalse(lifecycle.leave(2_100, true, 3_700), "a second SIGTERM is nothing new");
        assertEquals(Lifecycle.Phase.LEAVING, lifecycle.phase(), "the first SIGTERM decides");
    }

    /** Guards the end of a planned restart: then all connections end, and only what SIGKILL leaves time for is taken. */
    @Test
    void onceAllHaveComeTheRestIsSentAway() {
        lifecycle.serving(0);
        assertTrue(lifecycle.leave(2_000, false, 3_700));
        assertFalse(lifecycle.closeStrangers());
        lifecycle.graceOver();
        assertTrue(lifecycle.closeWhenIdle());
        assertTrue(lifecycle.closeStrangers());
        assertEquals(2_000 + 3_700 - Lifecycle.KILL_MARGIN_MS, lifecycle.answeredByMs());
        assertTrue(lifecycle.takes(2_800, 2_699));
        assertFalse(lifecycle.takes(2_800, 2_700));
    }
}
