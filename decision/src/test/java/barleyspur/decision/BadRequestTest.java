package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Log;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests whom the errors of nodes count against: requests of bad clients fail at every node. */
class BadRequestTest {

    private static final int ROUNDS = 40;
    /** One bad request in seven is as many as the retry budget covers: two further attempts at 0.3 for each request. */
    private static final int GOOD_REQUESTS_PER_BAD_ONE = 6;

    private static final int CACHES = 4;
    private static final double INTERVAL_MS = 50;
    private static final double ERROR_LATENCY_MS = 2;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.hitNotesSettings()).listNodes(CACHES);
    private final List<String> exclusions = new ArrayList<>();
    private long object = 1_000;

    /** Sends a request for a new object, answers its attempts and returns how many there were. */
    private int play(Predicate<Get> fails) {
        harness.nowMs += INTERVAL_MS;
        Get get = harness.get(++object);
        int attempts = 0;
        while (get != null) {
            List<Action> actions = fails.test(get)
                    ? harness.outcome(get, attempts, Result.ERROR, Note.NONE, ERROR_LATENCY_MS)
                    : harness.outcome(get, attempts, Result.OK, Note.FILLED);
            attempts++;
            PolicyHarness.actionsOf(actions, Log.class).stream()
                    .map(Log::line)
                    .filter(line -> line.contains("left out"))
                    .forEach(exclusions::add);
            List<Get> next = PolicyHarness.actionsOf(actions, Get.class);
            get = next.isEmpty() ? null : next.get(0);
        }
        return attempts;
    }

    /** Guards good clients: requests that every node answers with an error exclude no healthy cache. */
    @Test
    void badRequestsExcludeNoCache() {
        for (int i = 0; i < ROUNDS; i++) {
            play(get -> true);
            for (int good = 0; good < GOOD_REQUESTS_PER_BAD_ONE; good++) {
                play(get -> false);
            }
        }
        assertEquals(List.of(), exclusions);
    }

    /** The opposite case: a cache that fails what its peers serve is excluded. */
    @Test
    void aCacheThatFailsGoodRequestsIsExcluded() {
        for (int i = 0; i < ROUNDS; i++) {
            play(get -> get.node() == 1);
        }
        assertTrue(exclusions.contains("node 1 fails: left out"), exclusions.toString());
    }

    /** A request that several nodes answer with an error takes no further attempts from good ones. */
    @Test
    void aRequestThatThreeNodesFailIsGivenUp() {
        assertEquals(3, play(get -> true));
    }
}
