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
        assertTrue(duty.takes(1_000 + Duty.QUIESCED_TAKES_MS - 1));
        assertFalse(duty.takes(1_000 + Duty.QUIESCED_TAKES_MS));
        duty.resume(3_000);
        assertTrue(duty.takes(3_000));
    }

    /** Guards an upgrade: with a successor the old process stops listening and hands its clients over. */
    @Test
    void sigtermWithASuccessorHandsOff() {
        duty.serving(0);
        duty.leave(2_000, true);
        assertEquals(Duty.Phase.HANDING_OFF, duty.phase());
        assertFalse(duty.listening());
        assertTrue(duty.closeWhenIdle());
        assertTrue(duty.takes(2_000 + Duty.HANDING_OFF_TAKES_MS - 1));
        assertFalse(duty.takes(2_000 + Duty.HANDING_OFF_TAKES_MS));
        assertFalse(duty.resume(3_000), "a process that leaves is not taken back");
        assertFalse(duty.ready());
    }

    /** Guards a planned restart: without a successor new connections still come, and are all taken. */
    @Test
    void sigtermAloneGoesOnListening() {
        duty.serving(0);
        duty.quiesce(100);
        duty.leave(2_000, false);
        assertEquals(Duty.Phase.LEAVING, duty.phase());
        assertTrue(duty.listening());
        assertFalse(duty.closeWhenIdle());
        assertTrue(duty.takes(60_000));
        duty.leave(2_100, true);
        assertEquals(Duty.Phase.LEAVING, duty.phase(), "the first SIGTERM decides");
    }
}
