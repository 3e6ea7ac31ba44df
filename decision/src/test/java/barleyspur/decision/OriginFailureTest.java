package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.ListKind;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Refuse;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests requests that no further fill can serve: the origin, which stands behind all parents, has failed or is missing. */
class OriginFailureTest {

    private static final long OBJECT = 1_000;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);

    /** Guards against retry storms: while the origin fails, further fills multiplied the load that it failed under. */
    @Test
    void aFillThatTheOriginFailedIsNotTriedElsewhere() {
        Get fill = harness.get(OBJECT);
        List<Action> actions = harness.outcome(fill, 0, Result.FULL, Note.ORIGIN_FAILED);
        assertEquals(List.of(), PolicyHarness.actionsOf(actions, Get.class));
        assertEquals(1, PolicyHarness.actionsOf(actions, Refuse.class).size());
    }

    /** The opposite case: a parent that refuses or fails by itself is no reason to give up. */
    @Test
    void aFillThatAParentRefusedIsTriedElsewhere() {
        Get fill = harness.get(OBJECT);
        List<Action> actions = harness.outcome(fill, 0, Result.FULL, Note.SOURCE_REFUSED);
        assertEquals(1, PolicyHarness.actionsOf(actions, Get.class).size());
    }

    /** A copy elsewhere does not need the origin. */
    @Test
    void anotherHolderIsTriedAfterTheOriginFailed() {
        long holder = harness.serve(harness.get(OBJECT)).node();
        Get busy = harness.get(OBJECT);
        Get second = harness.get(OBJECT);
        Get loss = harness.get(OBJECT);
        assertEquals(List.of(holder, holder), List.of(busy.node(), second.node()));
        Get retry = PolicyHarness.onlyAction(harness.outcome(loss, 0, Result.FULL, Note.ORIGIN_FAILED), Get.class);
        assertEquals(holder, retry.node());
    }

    /** In a fleet without parents and origin nothing fills a miss, so the same cache would miss again. */
    @Test
    void aMissThatNothingCanFillIsNotTriedAgain() {
        PolicyHarness cachesOnly = new PolicyHarness(PolicyHarness.settings());
        cachesOnly.handle(new RoutingPolicy.Members(
                ListKind.CACHED,
                List.of(PolicyHarness.node(1, PolicyHarness.CACHE), PolicyHarness.node(2, PolicyHarness.CACHE))));
        Get lookup = cachesOnly.get(OBJECT);
        List<Action> actions = cachesOnly.outcome(lookup, 0, Result.MISS, Note.NONE, 1);
        assertEquals(List.of(), PolicyHarness.actionsOf(actions, Get.class));
        assertEquals(1, PolicyHarness.actionsOf(actions, Refuse.class).size());
    }
}
