package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Request;
import barleyspur.decision.Director.Result;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the ordinary path of least-recently-lost replication step by step. */
class OrdinaryPathTest {

    private final Bench bench = new Bench(Bench.settings()).list(4);

    @Test
    void firstRequestTakesAKeepingFillOfMiddleRankFromAParent() {
        Get get = bench.get(42);
        assertTrue(get.node() >= 1 && get.node() <= 4);
        assertTrue(get.source() == 11 || get.source() == 12);
        assertEquals(2, get.rank());
        assertTrue(get.join());
    }

    @Test
    void aBelievedHolderIsAskedAgain() {
        Get first = bench.served(bench.get(42));
        for (int i = 0; i < 5; i++) {
            Get again = bench.served(bench.get(42));
            assertEquals(first.node(), again.node());
        }
    }

    @Test
    void objectsSpreadOverAllCachesAndParents() {
        Set<Long> caches = new HashSet<>();
        Set<Long> parents = new HashSet<>();
        for (long object = 1; object <= 60; object++) {
            Get get = bench.served(bench.get(object));
            caches.add(get.node());
            parents.add(get.source());
        }
        assertEquals(Set.of(1L, 2L, 3L, 4L), caches);
        assertEquals(Set.of(11L, 12L), parents);
    }

    @Test
    void allDirectorsFillAnObjectFromTheSameParent() {
        Bench other = new Bench(Bench.settings()).list(3);
        for (long object = 1; object <= 60; object++) {
            assertEquals(
                    bench.served(bench.get(object)).source(),
                    other.served(other.get(object)).source());
        }
    }

    @Test
    void aBusyHolderIsALossAndTheCopyTakesTheTopRank() {
        Get first = bench.served(bench.get(42));
        Get held = bench.get(42);
        assertEquals(first.node(), held.node());
        // One hit is in flight to the holder, and 1/4 on average to each cache: 1 is below 1 + 1/4. The next is
        // above.
        assertEquals(first.node(), bench.get(42).node());
        Get lost = bench.get(42);
        assertNotEquals(first.node(), lost.node());
        assertEquals(3, lost.rank());
    }

    @Test
    void aHitKeepsTheTopRankWhileTheObjectIsOnTheLostList() {
        bench.served(bench.get(42));
        bench.get(42);
        bench.get(42);
        bench.served(bench.get(42));
        assertEquals(3, bench.get(42).rank());
    }

    @Test
    void aClientsRepeatIsNoDemand() {
        Get first = bench.served(bench.get(42));
        bench.get(42);
        bench.get(42);
        Get repeat = Bench.only(bench.tell(new Request(900, 0, 0, 42, 0, 5, 4_000, 0, true, false)), Get.class);
        assertEquals(first.node(), repeat.node());
        assertEquals(2, repeat.rank());
    }

    @Test
    void anOpenFillIsJoinedAndIsNoLoss() {
        Get first = bench.get(42);
        for (int i = 0; i < 3; i++) {
            Get joined = bench.get(42);
            assertEquals(first.node(), joined.node());
            assertEquals(2, joined.rank());
        }
    }

    @Test
    void beliefsLapse() {
        bench.served(bench.get(42));
        bench.now += 60_000;
        // No copies are believed to exist, so no holder can be busy: all requests join the new fill.
        Get again = bench.get(42);
        assertEquals(2, again.rank());
        assertEquals(again.node(), bench.get(42).node());
        assertEquals(again.node(), bench.get(42).node());
    }

    @Test
    void aFailedSourceIsFollowedByTheNextParentThenTheOrigin() {
        Get first = bench.get(42);
        Get second = Bench.only(bench.outcome(first, 0, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertNotEquals(first.source(), second.source());
        Get third = Bench.only(bench.outcome(second, 1, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertEquals(20, third.source());
    }
}
