package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Gone;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests what requests that are withdrawn at full speed change for the others. Guards against bad clients that pay for
 * any number of retries and backup attempts while depots fail or are slow.
 */
class WithdrawnRequestTest {

    private static final int MANY = 400;
    /** The retries that can be saved up. */
    private static final int MAX_SAVED_RETRIES = 30;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);
    private long lastObject;

    private void sendAndWithdraw(long object) {
        Get get = harness.get(object);
        harness.handle(new Gone(get.request()));
        harness.outcome(get, 0, Result.CANCELLED, Note.NONE, 1);
    }

    @Test
    void withdrawnRequestsPayForNoRetries() {
        int retries = 0;
        for (int i = 0; i < MANY; i++) {
            harness.nowMs += 10;
            for (int j = 0; j < 10; j++) {
                sendAndWithdraw(++lastObject);
            }
            Get get = harness.get(++lastObject);
            List<Get> retried = PolicyHarness.actionsOf(harness.outcome(get, 0, Result.MISS, Note.NONE), Get.class);
            retries += retried.size();
            retried.forEach(retry -> harness.outcome(retry, 1, Result.OK, Note.FILLED));
        }
        double earned = MAX_SAVED_RETRIES + 0.3 * MANY;
        assertTrue(retries <= earned, retries + " retries, " + earned + " earned by requests that were tried");
        assertTrue(retries > MAX_SAVED_RETRIES, "requests that were tried earn retries: " + retries);
    }

    /** The backups of usual requests, each of which is due at half the latency target. */
    @Test
    void withdrawnRequestsPayForNoBackups() {
        long object = ++lastObject;
        harness.serve(harness.get(object));
        int backups = 0;
        for (int i = 0; i < MANY; i++) {
            harness.nowMs += 10;
            // Keeps the belief that the object is held, as an answer in time.
            harness.serve(harness.get(object));
            for (int j = 0; j < 10; j++) {
                sendAndWithdraw(object);
            }
            List<RoutingPolicy.Action> sent = harness.request(0, object, 4_000);
            Get get = PolicyHarness.onlyAction(sent, Get.class);
            harness.nowMs += 1;
            // The target answers another request meanwhile, so it is not silent.
            Get other = harness.get(object);
            harness.outcome(other, 0, Result.OK, Note.HIT);
            List<RoutingPolicy.WakeAt> timers = PolicyHarness.actionsOf(sent, RoutingPolicy.WakeAt.class);
            List<RoutingPolicy.Action> atBackup = harness.handle(
                    new RoutingPolicy.Alarm(timers.get(timers.size() - 1).token()));
            backups += PolicyHarness.actionsOf(atBackup, Get.class).size();
            harness.outcome(get, 0, Result.OK, Note.HIT);
        }
        assertEquals(0, backups, "no attempt was unanswered, so no backup is earned");
    }
}
