package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Action;
import barleyspur.decision.Director.Alarm;
import barleyspur.decision.Director.Cancel;
import barleyspur.decision.Director.Fail;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.ListKind;
import barleyspur.decision.Director.Members;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Purged;
import barleyspur.decision.Director.Refuse;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.State;
import barleyspur.decision.Director.WakeAt;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests the five rules of the policy, alone and in combination. */
class RulesTest {

    private Bench bench = new Bench(Bench.settings()).list(4);
    private long lastObject = 1_000;

    // ---- rule 1: one final answer in time ------------------------------------------------------------

    @Test
    void aRequestStillOutIsRefusedAheadOfItsDeadlineAndItsAttemptCalledOff() {
        List<Action> sent = bench.request(0, 42, 3_000);
        WakeAt wake = Bench.deadline(sent);
        assertTrue(wake.atMs() < bench.now + 3_000);
        bench.now = wake.atMs() + Bench.TICK;
        List<Action> end = bench.tell(new Alarm(wake.token()));
        assertEquals(1, Bench.all(end, Refuse.class).size());
        assertEquals(1, Bench.all(end, Cancel.class).size());
        assertTrue(Bench.only(end, Refuse.class).pauseMs() > 0);
    }

    @Test
    void nothingFollowsTheFinalAnswer() {
        List<Action> sent = bench.request(0, 42, 3_000);
        bench.tell(new Alarm(Bench.deadline(sent).token()));
        assertEquals(List.of(), bench.tell(new Alarm(Bench.deadline(sent).token())));
        Get get = Bench.only(sent, Get.class);
        assertEquals(List.of(), Bench.all(bench.outcome(get, 0, Result.CANCELLED, Note.NONE), Get.class));
    }

    @Test
    void withTooLittleTimeLeftItIsRefusedAtOnce() {
        Bench.only(bench.request(0, 42, 5), Refuse.class);
    }

    @Test
    void withAnEmptyListItIsRefusedAtOnce() {
        Bench empty = new Bench(Bench.settings());
        empty.tell(new Members(ListKind.CACHED, List.of()));
        Bench.only(empty.request(0, 42, 3_000), Refuse.class);
    }

    @Test
    void aListWithOneCacheServes() {
        Bench one = new Bench(Bench.settings()).list(1);
        assertEquals(1, one.get(42).node());
        assertEquals(1, one.get(43).node());
    }

    /** After a client has left, neither its timers nor the outcomes of its attempts start another attempt. */
    @Test
    void nothingIsBegunForWhoHasGone() {
        for (int category = 0; category < 4; category++) {
            List<Action> taken = bench.request(category, 50 + category, 3_000);
            Get get = Bench.only(taken, Get.class);
            Bench.only(bench.tell(new Director.Gone(get.request())), Director.Cancel.class);
            for (WakeAt timer : Bench.all(taken, WakeAt.class)) {
                bench.now = Math.max(bench.now, timer.atMs());
                assertEquals(List.of(), bench.tell(new Alarm(timer.token())));
            }
            assertEquals(List.of(), Bench.all(bench.outcome(get, 0, Result.FULL, Note.NONE), Get.class));
        }
    }

    // ---- rule 2: no effect twice ----------------------------------------------------------------------

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() {
        Get get = Bench.only(bench.request(2, 42, 3_000), Get.class);
        List<Action> end = bench.outcome(get, 0, Result.RESET, Note.NONE);
        assertEquals(List.of(), Bench.all(end, Get.class));
        Bench.only(end, Fail.class);
    }

    @Test
    void anUnsafeRequestThatCannotHaveRunIsSentAgain() {
        Get get = Bench.only(bench.request(2, 42, 3_000), Get.class);
        Bench.only(bench.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE), Get.class);
    }

    @Test
    void anUnsafeRequestWithItsAttemptOutFailsAtTheDeadline() {
        WakeAt wake = Bench.deadline(bench.request(2, 42, 3_000));
        Bench.only(bench.tell(new Alarm(wake.token())), Fail.class);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCell() {
        Get get = Bench.only(bench.request(3, 42, 3_000), Get.class);
        Get next = Bench.only(bench.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertEquals(get.node() % 2, next.node() % 2);
    }

    @Test
    void aKeyedRequestIsNotSentAgainAfterItsWindow() {
        Get get = Bench.only(bench.request(3, 42, 5_000), Get.class);
        bench.now += 2_500;
        List<Action> end = bench.outcome(get, 0, Result.RESET, Note.NONE);
        assertEquals(List.of(), Bench.all(end, Get.class));
        Bench.only(end, Fail.class);
    }

    // ---- rule 3: drains ---------------------------------------------------------------------------------

    @Test
    void aDrainingCacheIsNoTargetEvenForWhatItHolds() {
        Get get = bench.served(bench.get(42));
        bench.change(Bench.node(get.node(), Bench.CACHE, State.DRAINING, 0));
        assertNotEquals(get.node(), bench.get(42).node());
    }

    @Test
    void aDrainingParentIsNoSourceAlsoAtARetry() {
        Get get = bench.get(42);
        bench.change(Bench.node(get.source() == 11 ? 12 : 11, Bench.PARENT, State.DRAINING, 0));
        Get again = Bench.only(bench.outcome(get, 0, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertEquals(20, again.source());
    }

    @Test
    void withEveryParentGoneTheOriginIsTheSource() {
        bench.change(Bench.node(11, Bench.PARENT, State.GONE, 0), Bench.node(12, Bench.PARENT, State.GONE, 0));
        assertEquals(20, bench.get(42).source());
    }

    @Test
    void withEveryCacheGoneItGoesStraightToAParent() {
        Bench none = new Bench(Bench.settings()).list(0);
        Get get = none.get(42);
        assertTrue(get.node() == 11 || get.node() == 12);
        assertEquals(20, get.source());
        assertEquals(0, get.rank());
    }

    // ---- rule 4: cold nodes ------------------------------------------------------------------------------

    /** Serves {@code count} new objects, {@code stepMs} apart. Returns how many of the attempts match. */
    private long servedWith(Predicate<Get> uses, int count, double stepMs) {
        long found = 0;
        for (int i = 0; i < count; i++) {
            found += uses.test(bench.served(bench.get(++lastObject))) ? 1 : 0;
            bench.now += stepMs;
        }
        return found;
    }

    @Test
    void aRestartedCacheTakesNothingAtOnceAndFewAfterThat() {
        servedWith(g -> true, 200, 60);
        bench.change(Bench.node(1, Bench.CACHE, State.READY, bench.now));
        assertEquals(0, servedWith(g -> g.node() == 1, 100, 0));
        long toCold = servedWith(g -> g.node() == 1, 66, 60);
        assertTrue(toCold >= 1 && toCold <= 8, "of 66 requests, sent to the cold one of four caches: " + toCold);
    }

    @Test
    void directorsStartOnAColdCacheAtDifferentTimes() {
        List<Double> first = new ArrayList<>();
        for (int me = 0; me < 8; me++) {
            bench = new Bench(Bench.settings(me, 8)).list(4);
            servedWith(g -> true, 200, 60);
            bench.change(Bench.node(1, Bench.CACHE, State.READY, bench.now));
            double told = bench.now;
            while (servedWith(g -> g.node() == 1, 1, 20) == 0) {
                assertTrue(bench.now < told + 16_000, "the cold cache is never used");
            }
            first.add(bench.now - told);
        }
        assertTrue(first.stream().filter(ms -> ms < 1_000).count() <= 4, "first sends after " + first);
        assertTrue(
                first.stream().mapToDouble(ms -> ms).max().getAsDouble()
                        > 1.5 * first.stream().mapToDouble(ms -> ms).min().getAsDouble(),
                "first sends after " + first);
    }

    @Test
    void aCacheThatAnswersAgainAfterARefusedConnectIsTakenAsCold() {
        servedWith(g -> true, 200, 60);
        Get get = bench.get(++lastObject);
        bench.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE);
        bench.now += 1_000;
        int tries = 0;
        while (bench.served(bench.get(++lastObject)).node() != get.node()) {
            assertTrue(++tries < 100, "the cache is never tried again");
        }
        assertEquals(0, servedWith(g -> g.node() == get.node(), 100, 0));
    }

    /**
     * Guards against excluding a healthy cache for a reset, which may affect one connection: a corrupt answer ends
     * so.
     */
    @Test
    void aCacheStaysInUseAfterAReset() {
        servedWith(g -> true, 200, 60);
        Get get = bench.get(++lastObject);
        bench.outcome(get, 0, Result.RESET, Note.NONE);
        assertTrue(servedWith(g -> g.node() == get.node(), 100, 0) > 0);
    }

    @Test
    void aRestartDuringAFillSendsTheRequestElsewhere() {
        Get get = bench.get(42);
        bench.now += 100;
        bench.change(Bench.node(get.node(), Bench.CACHE, State.READY, bench.now));
        Get again = Bench.only(bench.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertNotEquals(get.node(), again.node());
    }

    @Test
    void aRestartedParentTakesNothingAtOnceAndFewFillsAfterThat() {
        servedWith(g -> true, 200, 60);
        bench.change(Bench.node(11, Bench.PARENT, State.READY, bench.now));
        assertEquals(0, servedWith(g -> g.source() == 11, 100, 0));
        long toCold = servedWith(g -> g.source() == 11, 200, 60);
        assertTrue(toCold >= 1 && toCold < 35, "of 200 fills, from the cold one of two parents: " + toCold);
    }

    @Test
    void whatIsBelievedHeldNamesNoColdParent() {
        Get get = bench.served(bench.get(42));
        bench.change(Bench.node(get.source(), Bench.PARENT, State.READY, bench.now));
        assertNotEquals(get.source(), bench.get(42).source());
    }

    // ---- rule 5: purges ------------------------------------------------------------------------------------

    @Test
    void afterAPurgeNoOlderCopyWillDoUntilAllAreDropped() {
        bench.served(bench.get(42));
        bench.tell(new Purged(5, 42, 300));
        bench.now += 1_000;
        Get get = bench.get(42);
        assertTrue(get.maxAgeMs() > 0 && get.maxAgeMs() <= 1_300, "age " + get.maxAgeMs());
        bench.now += 6_000;
        assertEquals(0, bench.get(42).maxAgeMs());
    }

    @Test
    void aPurgeOfTheWholeGroupBoundsItsObjects() {
        bench.tell(new Purged(5, 0, 0));
        bench.now += 1_000;
        double age = bench.get(42).maxAgeMs();
        assertTrue(age > 0 && age <= 1_000, "age " + age);
    }

    @Test
    void thePurgeOfThisMomentStillBounds() {
        bench.tell(new Purged(5, 42, 0));
        double age = bench.get(42).maxAgeMs();
        assertTrue(age > 0 && age < Bench.TICK, "age " + age);
    }

    @Test
    void aPurgeDuringARetryBoundsTheRetry() {
        Get get = bench.get(42);
        bench.tell(new Purged(5, 42, 0));
        bench.now += 100;
        Get again = Bench.only(bench.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertTrue(again.maxAgeMs() > 0 && again.maxAgeMs() <= 100, "age " + again.maxAgeMs());
    }

    @Test
    void aClassWithAFreshTimeIsNeverGivenLonger() {
        bench.tell(new Purged(5, 42, 5_900));
        double age = Bench.only(bench.request(1, 42, 3_000), Get.class).maxAgeMs();
        assertTrue(age > 0 && age <= 5_900, "age " + age);
        assertFalse(age > 8_000);
    }

    @Test
    void anotherObjectIsNotBound() {
        bench.tell(new Purged(9, 77, 0));
        assertEquals(0, bench.get(42).maxAgeMs());
    }
}
