package barleyspur.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The phases of a doorman's duty, on times that the test gives. */
class DutyTest {

    private final Duty duty = new Duty();

    /** Guards health: no before the clients' address is bound, yes from then on. */
    @Test
    void healthSaysYesOnlyOnceItTakesClients() {
        assertFalse(duty.ready());
        assertFalse(duty.quiesce(0), "nothing to quiesce before the start");
        duty.serving(10);
        assertTrue(duty.ready());
        assertEquals(Duty.Phase.SERVING, duty.phase());
    }

    /** Guards the drain: no at once on a quiesce, yes at once on a resume, idle connections closed meanwhile. */
    @Test
    void aQuiesceSaysNoUntilTheResume() {
        duty.serving(0);
        assertTrue(duty.quiesce(100));
        assertFalse(duty.quiesce(150), "a second call is nothing new");
        assertFalse(duty.ready());
        assertTrue(duty.closeWhenIdle());
        assertTrue(duty.listening(), "new connections still come for 0.2 s");
        assertTrue(duty.resume(5_000));
        assertTrue(duty.ready());
        assertFalse(duty.closeWhenIdle());
        assertTrue(duty.resume(5_100), "a resume of a serving doorman is a yes");
    }

    /** Guards the drain's rule on requests of the last 2 s: kept connections are refused from 1 s on. */
    @Test
    void quiescedRequestsAreTakenForASecond() {
        duty.serving(0);
        duty.quiesce(1_000);
        assertTrue(duty.takes(1_000 + Duty.QUIESCED_TAKES_MS - 1, 100));
        assertFalse(duty.takes(1_000 + Duty.QUIESCED_TAKES_MS, 100));
        duty.resume(3_000);
        assertTrue(duty.takes(3_000, 100));
    }

    /**
     * Guards an upgrade: with a successor the old process stops listening and hands its clients over. It takes what
     * SIGKILL would excuse, and later only what is answered before SIGKILL can come; the rest is refused, so that
     * SIGKILL finds nothing it would charge as lost.
     */
    @Test
    void sigtermWithASuccessorHandsOff() {
        duty.serving(0);
        double kill = Duty.killAfterMs(4_740);
        assertEquals(3_700, kill, "the longest deadline counts as 3 s, and 0.7 s more");
        duty.leave(2_000, true, kill);
        assertEquals(Duty.Phase.HANDING_OFF, duty.phase());
        assertFalse(duty.listening());
        assertTrue(duty.closeWhenIdle());
        assertTrue(duty.takes(2_000 + Duty.HANDING_OFF_TAKES_MS - 1, 4_000), "excused by SIGKILL's 0.7 s");
        assertFalse(duty.takes(2_000 + Duty.HANDING_OFF_TAKES_MS, 4_000), "it could still be open at SIGKILL");
        double left = 2_000 + kill - Duty.KILL_MARGIN_MS - 3_000;
        assertTrue(duty.takes(3_000, left - 1), "answered before SIGKILL");
        assertFalse(duty.takes(3_000, left));
        assertFalse(duty.resume(3_000), "a process that leaves is not taken back");
        assertFalse(duty.ready());
    }

    /** Guards a planned restart: without a successor new connections still come, and are all taken. */
    @Test
    void sigtermAloneGoesOnListening() {
        duty.serving(0);
        duty.quiesce(100);
        duty.leave(2_000, false, 3_700);
        assertEquals(Duty.Phase.LEAVING, duty.phase());
        assertTrue(duty.listening());
        assertFalse(duty.closeWhenIdle());
        assertTrue(duty.takes(60_000, 4_000));
        assertFalse(duty.leave(2_100, true, 3_700), "a second SIGTERM is nothing new");
        assertEquals(Duty.Phase.LEAVING, duty.phase(), "the first SIGTERM decides");
    }

    /** Guards the end of a planned restart: then all connections end, and only what SIGKILL leaves time for is taken. */
    @Test
    void onceAllHaveComeTheRestIsSentAway() {
        duty.serving(0);
        assertTrue(duty.leave(2_000, false, 3_700));
        assertFalse(duty.closeStrangers());
        duty.graceOver();
        assertTrue(duty.closeWhenIdle());
        assertTrue(duty.closeStrangers());
        assertEquals(2_000 + 3_700 - Duty.KILL_MARGIN_MS, duty.answeredByMs());
        assertTrue(duty.takes(2_800, 2_699));
        assertFalse(duty.takes(2_800, 2_700));
    }
}
