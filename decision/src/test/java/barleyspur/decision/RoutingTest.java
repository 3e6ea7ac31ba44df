package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Request;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the ordinary path of least-recently-lost replication step by step. */
class RoutingTest {

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);

    @Test
    void firstRequestIsFilledFromAParentAtTheDefaultRank() {
        Get get = harness.get(42);
        assertTrue(get.node() >= 1 && get.node() <= 4);
        assertTrue(get.source() == 11 || get.source() == 12);
        assertEquals(2, get.rank());
        assertTrue(get.join());
    }

    @Test
    void aBelievedHolderIsUsedAgain() {
        Get first = harness.serve(harness.get(42));
        for (int i = 0; i < 5; i++) {
            Get again = harness.serve(harness.get(42));
            assertEquals(first.node(), again.node());
        }
    }

    @Test
    void objectsSpreadOverAllCachesAndParents() {
        Set<Long> caches = new HashSet<>();
        Set<Long> parents = new HashSet<>();
        for (long object = 1; object <= 60; object++) {
            Get get = harness.serve(harness.get(object));
            caches.add(get.node());
            parents.add(get.source());
        }
        assertEquals(Set.of(1L, 2L, 3L, 4L), caches);
        assertEquals(Set.of(11L, 12L), parents);
    }

    @Test
    void allDoormansFillAnObjectFromTheSameParent() {
        PolicyHarness other = new PolicyHarness(PolicyHarness.settings()).listNodes(3);
        for (long object = 1; object <= 60; object++) {
            assertEquals(
                    harness.serve(harness.get(object)).source(),
                    other.serve(other.get(object)).source());
        }
    }

    @Test
    void aBusyHolderIsALossAndTheCopyTakesTheTopRank() {
        Get first = harness.serve(harness.get(42));
        Get held = harness.get(42);
        assertEquals(first.node(), held.node());
        // One hit is in flight to the holder, and 1/4 on average to each cache: 1 is below 1 + 1/4. The next is
        // above.
        assertEquals(first.node(), harness.get(42).node());
        Get lost = harness.get(42);
        assertNotEquals(first.node(), lost.node());
        assertEquals(3, lost.rank());
    }

    @Test
    void aHitKeepsTheTopRankWhileTheObjectIsOnTheLostList() {
        harness.serve(harness.get(42));
        harness.get(42);
        harness.get(42);
        harness.serve(harness.get(42));
        assertEquals(3, harness.get(42).rank());
    }

    @Test
    void aClientsRepeatIsNotNewDemand() {
        Get first = harness.serve(harness.get(42));
        harness.get(42);
        harness.get(42);
        Get repeat = PolicyHarness.onlyAction(
                harness.handle(new Request(900, 0, 0, 42, 0, 5, 4_000, 0, true, false)), Get.class);
        assertEquals(first.node(), repeat.node());
        assertEquals(2, repeat.rank());
    }

    @Test
    void anOpenFillIsJoinedAndIsNoLoss() {
        Get first = harness.get(42);
        for (int i = 0; i < 3; i++) {
            Get joined = harness.get(42);
            assertEquals(first.node(), joined.node());
            assertEquals(2, joined.rank());
        }
    }

    @Test
    void believedCopiesExpire() {
        harness.serve(harness.get(42));
        harness.nowMs += 60_000;
        // No copies are believed to exist, so no holder can be busy: all requests join the new fill.
        Get again = harness.get(42);
        assertEquals(2, again.rank());
        assertEquals(again.node(), harness.get(42).node());
        assertEquals(again.node(), harness.get(42).node());
    }

    @Test
    void aFailedSourceIsFollowedByTheNextParentThenTheOrigin() {
        Get first = harness.get(42);
        Get second = PolicyHarness.onlyAction(harness.outcome(first, 0, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertNotEquals(first.source(), second.source());
        Get third = PolicyHarness.onlyAction(harness.outcome(second, 1, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertEquals(20, third.source());
    }
}
