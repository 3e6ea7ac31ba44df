package barleyspur.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the phases of a doorman's lifecycle, with times set by the test. */
class LifecycleTest {

    private final Lifecycle lifecycle = new Lifecycle();

    /** The health check fails until the client address is bound, and succeeds from then on. */
    @Test
    void readyOnlyOnceServing() {
        assertFalse(lifecycle.isReady());
        assertFalse(lifecycle.quiesce(0), "nothing to quiesce before the start");
        lifecycle.startServing(10);
        assertTrue(lifecycle.isReady());
        assertEquals(Lifecycle.Phase.SERVING, lifecycle.phase());
    }

    /**
     * The health check fails at once on a quiesce and succeeds at once on a resume; idle connections are closed in
     * between.
     */
    @Test
    void quiescedIsNotReadyUntilResumed() {
        lifecycle.startServing(0);
        assertTrue(lifecycle.quiesce(100));
        assertFalse(lifecycle.quiesce(150), "a second call changes nothing");
        assertFalse(lifecycle.isReady());
        assertTrue(lifecycle.closesIdleConnections());
        assertTrue(lifecycle.shouldListen(), "new connections still arrive for 0.2 s");
        assertTrue(lifecycle.resume(5_000));
        assertTrue(lifecycle.isReady());
        assertFalse(lifecycle.closesIdleConnections());
        assertTrue(lifecycle.resume(5_100), "resuming a serving doorman succeeds");
    }

    /**
     * Guards the rule on requests of the last 2 s during a drain: requests on existing connections are refused after
     * 1 s.
     */
    @Test
    void requestsAreAcceptedForOneSecondAfterQuiesce() {
        lifecycle.startServing(0);
        lifecycle.quiesce(1_000);
        assertTrue(lifecycle.acceptsRequest(1_000 + Lifecycle.QUIESCED_ACCEPT_MS - 1, 100));
        assertFalse(lifecycle.acceptsRequest(1_000 + Lifecycle.QUIESCED_ACCEPT_MS, 100));
        lifecycle.resume(3_000);
        assertTrue(lifecycle.acceptsRequest(3_000, 100));
    }

    /**
     * Guards an upgrade: with a successor, the old process stops listening. It accepts requests whose loss by SIGKILL
     * is excused, and later only those answered before SIGKILL can come. It refuses the rest, so that SIGKILL leaves no
     * request that counts as lost.
     */
    @Test
    void sigtermWithASuccessorHandsOff() {
        lifecycle.startServing(0);
        double killAfterMs = Lifecycle.earliestKillAfterMs(4_740);
        assertEquals(3_700, killAfterMs, "the longest deadline counts as at most 3 s, plus 0.7 s");
        lifecycle.startLeaving(2_000, true, killAfterMs);
        assertEquals(Lifecycle.Phase.HANDING_OFF, lifecycle.phase());
        assertFalse(lifecycle.shouldListen());
        assertTrue(lifecycle.closesIdleConnections());
        assertTrue(
                lifecycle.acceptsRequest(2_000 + Lifecycle.HANDING_OFF_ACCEPT_MS - 1, 4_000),
                "within the 0.7 s that excuse a loss by SIGKILL");
        assertFalse(
                lifecycle.acceptsRequest(2_000 + Lifecycle.HANDING_OFF_ACCEPT_MS, 4_000),
                "it could still be open at SIGKILL");
        double remainingMs = 2_000 + killAfterMs - Lifecycle.KILL_MARGIN_MS - 3_000;
        assertTrue(lifecycle.acceptsRequest(3_000, remainingMs - 1), "answered before SIGKILL");
        assertFalse(lifecycle.acceptsRequest(3_000, remainingMs));
        assertFalse(lifecycle.resume(3_000), "a process that is leaving can't resume");
        assertFalse(lifecycle.isReady());
    }

    /** Guards a planned restart: without a successor new connections still arrive, and all requests are accepted. */
    @Test
    void sigtermWithoutSuccessorKeepsListening() {
        lifecycle.startServing(0);
        lifecycle.quiesce(100);
        lifecycle.startLeaving(2_000, false, 3_700);
        assertEquals(Lifecycle.Phase.LEAVING, lifecycle.phase());
        assertTrue(lifecycle.shouldListen());
        assertFalse(lifecycle.closesIdleConnections());
        assertTrue(lifecycle.acceptsRequest(60_000, 4_000));
        assertFalse(lifecycle.startLeaving(2_100, true, 3_700), "a second SIGTERM changes nothing");
        assertEquals(Lifecycle.Phase.LEAVING, lifecycle.phase(), "the first SIGTERM decides");
    }

    /**
     * Guards the end of a planned restart: all connections close, and only requests answered before SIGKILL are
     * accepted.
     */
    @Test
    void connectionsCloseAfterTheGracePeriod() {
        lifecycle.startServing(0);
        assertTrue(lifecycle.startLeaving(2_000, false, 3_700));
        assertFalse(lifecycle.closesUnusedConnections());
        lifecycle.endGrace();
        assertTrue(lifecycle.closesIdleConnections());
        assertTrue(lifecycle.closesUnusedConnections());
        assertEquals(2_000 + 3_700 - Lifecycle.KILL_MARGIN_MS, lifecycle.answerDeadlineMs());
        assertTrue(lifecycle.acceptsRequest(2_800, 2_699));
        assertFalse(lifecycle.acceptsRequest(2_800, 2_700));
    }
}
