package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Alarm;
import barleyspur.decision.RoutingPolicy.Cancel;
import barleyspur.decision.RoutingPolicy.Fail;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.ListKind;
import barleyspur.decision.RoutingPolicy.Members;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Purged;
import barleyspur.decision.RoutingPolicy.Refuse;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import barleyspur.decision.RoutingPolicy.WakeAt;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests the five rules of the policy, alone and in combination. */
class RulesTest {

    private PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);
    private long lastObject = 1_000;

    // ---- rule 1: one final answer in time ------------------------------------------------------------

    @Test
    void anUnansweredRequestIsRefusedBeforeItsDeadlineAndItsAttemptCancelled() {
        List<Action> sent = harness.request(0, 42, 3_000);
        WakeAt wake = PolicyHarness.deadline(sent);
        assertTrue(wake.atMs() < harness.nowMs + 3_000);
        harness.nowMs = wake.atMs() + PolicyHarness.TICK_MS;
        List<Action> end = harness.handle(new Alarm(wake.token()));
        assertEquals(1, PolicyHarness.actionsOf(end, Refuse.class).size());
        assertEquals(1, PolicyHarness.actionsOf(end, Cancel.class).size());
        assertTrue(PolicyHarness.onlyAction(end, Refuse.class).pauseMs() > 0);
    }

    @Test
    void nothingFollowsTheFinalAnswer() {
        List<Action> sent = harness.request(0, 42, 3_000);
        harness.handle(new Alarm(PolicyHarness.deadline(sent).token()));
        assertEquals(
                List.of(), harness.handle(new Alarm(PolicyHarness.deadline(sent).token())));
        Get get = PolicyHarness.onlyAction(sent, Get.class);
        assertEquals(
                List.of(), PolicyHarness.actionsOf(harness.outcome(get, 0, Result.CANCELLED, Note.NONE), Get.class));
    }

    @Test
    void withTooLittleTimeLeftItIsRefusedAtOnce() {
        PolicyHarness.onlyAction(harness.request(0, 42, 5), Refuse.class);
    }

    @Test
    void withAnEmptyListItIsRefusedAtOnce() {
        PolicyHarness empty = new PolicyHarness(PolicyHarness.settings());
        empty.handle(new Members(ListKind.CACHED, List.of()));
        PolicyHarness.onlyAction(empty.request(0, 42, 3_000), Refuse.class);
    }

    @Test
    void aListWithOneCacheServes() {
        PolicyHarness one = new PolicyHarness(PolicyHarness.settings()).listNodes(1);
        assertEquals(1, one.get(42).node());
        assertEquals(1, one.get(43).node());
    }

    /** After a client has left, neither its timers nor the outcomes of its attempts start another attempt. */
    @Test
    void nothingIsSentForAClientThatLeft() {
        for (int category = 0; category < 4; category++) {
            List<Action> taken = harness.request(category, 50 + category, 3_000);
            Get get = PolicyHarness.onlyAction(taken, Get.class);
            PolicyHarness.onlyAction(harness.handle(new RoutingPolicy.Gone(get.request())), RoutingPolicy.Cancel.class);
            for (WakeAt timer : PolicyHarness.actionsOf(taken, WakeAt.class)) {
                harness.nowMs = Math.max(harness.nowMs, timer.atMs());
                assertEquals(List.of(), harness.handle(new Alarm(timer.token())));
            }
            assertEquals(
                    List.of(), PolicyHarness.actionsOf(harness.outcome(get, 0, Result.FULL, Note.NONE), Get.class));
        }
    }

    // ---- rule 2: no effect twice ----------------------------------------------------------------------

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain() {
        Get get = PolicyHarness.onlyAction(harness.request(2, 42, 3_000), Get.class);
        List<Action> end = harness.outcome(get, 0, Result.RESET, Note.NONE);
        assertEquals(List.of(), PolicyHarness.actionsOf(end, Get.class));
        PolicyHarness.onlyAction(end, Fail.class);
    }

    @Test
    void anUnsafeRequestThatCannotHaveRunIsSentAgain() {
        Get get = PolicyHarness.onlyAction(harness.request(2, 42, 3_000), Get.class);
        PolicyHarness.onlyAction(harness.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE), Get.class);
    }

    @Test
    void anUnsafeRequestWithAnAttemptInFlightFailsAtTheDeadline() {
        WakeAt wake = PolicyHarness.deadline(harness.request(2, 42, 3_000));
        PolicyHarness.onlyAction(harness.handle(new Alarm(wake.token())), Fail.class);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCell() {
        Get get = PolicyHarness.onlyAction(harness.request(3, 42, 3_000), Get.class);
        Get next = PolicyHarness.onlyAction(harness.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertEquals(get.node() % 2, next.node() % 2);
    }

    /**
     * Guards against a key that ran in two cells: a first attempt that proved never to have run kept later ones in its
     * own cell, whatever cell the key had reached by then.
     */
    @Test
    void aKeyedRequestStaysInTheCellOfTheAttemptThatMayHaveRunNotOfTheFirst() {
        int leftCellOfFirst = 0;
        for (int seed = 0; seed < 30; seed++) {
            harness = new PolicyHarness(PolicyHarness.settings(), seed).listNodes(4);
            Get first = PolicyHarness.onlyAction(harness.request(3, 42, 3_000), Get.class);
            Get second = PolicyHarness.onlyAction(harness.outcome(first, 0, Result.FULL, Note.NONE), Get.class);
            List<Action> end = harness.outcome(second, 1, Result.RESET, Note.NONE);
            for (Get third : PolicyHarness.actionsOf(end, Get.class)) {
                assertEquals(second.node() % 2, third.node() % 2, "seed " + seed);
                leftCellOfFirst += first.node() % 2 != third.node() % 2 ? 1 : 0;
            }
        }
        assertTrue(leftCellOfFirst > 0, "the second attempt was in another cell at least once");
    }

    /** Past the caches the same holds: a key that may have run in a cell is sent to no parent of another one. */
    @Test
    void aKeyedRequestThatMayHaveRunIsNotSentPastTheCachesToAnotherCell() {
        harness = new PolicyHarness(PolicyHarness.settings()).listNodes(1);
        Get first = PolicyHarness.onlyAction(harness.request(3, 42, 3_000), Get.class);
        harness.outcome(first, 0, Result.RESET, Note.NONE);
        List<Action> afterLoss = harness.changeNodes(PolicyHarness.node(1, PolicyHarness.CACHE, State.GONE, 0));
        assertEquals(List.of(), PolicyHarness.actionsOf(afterLoss, Get.class));
        Get next = PolicyHarness.onlyAction(harness.request(3, 43, 3_000), Get.class);
        for (Get repeat : PolicyHarness.actionsOf(harness.outcome(next, 0, Result.RESET, Note.NONE), Get.class)) {
            assertEquals(next.node() % 2, repeat.node() % 2);
        }
    }

    /** A node that is listed anew in another cell may not have told that cell which keys it has seen. */
    @Test
    void theCellOfAnAttemptIsTheOneInWhichItsNodeWasListedWhenItWasSent() {
        Get first = PolicyHarness.onlyAction(harness.request(3, 42, 3_000), Get.class);
        long cell = first.node() % 2;
        harness.changeNodes(
                new RoutingPolicy.Node(first.node(), 1, PolicyHarness.CACHE, (int) (1 - cell), State.READY, 1, 0));
        Get next = PolicyHarness.onlyAction(harness.outcome(first, 0, Result.RESET, Note.NONE), Get.class);
        assertNotEquals(first.node(), next.node());
        assertEquals(cell, next.node() % 2);
    }

    @Test
    void aKeyedRequestIsNotSentAgainAfterItsWindow() {
        Get get = PolicyHarness.onlyAction(harness.request(3, 42, 5_000), Get.class);
        harness.nowMs += 2_500;
        List<Action> end = harness.outcome(get, 0, Result.RESET, Note.NONE);
        assertEquals(List.of(), PolicyHarness.actionsOf(end, Get.class));
        PolicyHarness.onlyAction(end, Fail.class);
    }

    // ---- rule 3: drains ---------------------------------------------------------------------------------

    @Test
    void aDrainingCacheIsNoTargetEvenForWhatItHolds() {
        Get get = harness.serve(harness.get(42));
        harness.changeNodes(PolicyHarness.node(get.node(), PolicyHarness.CACHE, State.DRAINING, 0));
        assertNotEquals(get.node(), harness.get(42).node());
    }

    @Test
    void aDrainingParentIsNoSourceAlsoAtARetry() {
        Get get = harness.get(42);
        harness.changeNodes(PolicyHarness.node(get.source() == 11 ? 12 : 11, PolicyHarness.PARENT, State.DRAINING, 0));
        Get again = PolicyHarness.onlyAction(harness.outcome(get, 0, Result.FULL, Note.SOURCE_REFUSED), Get.class);
        assertEquals(20, again.source());
    }

    @Test
    void withEveryParentGoneTheOriginIsTheSource() {
        harness.changeNodes(
                PolicyHarness.node(11, PolicyHarness.PARENT, State.GONE, 0),
                PolicyHarness.node(12, PolicyHarness.PARENT, State.GONE, 0));
        assertEquals(20, harness.get(42).source());
    }

    @Test
    void withEveryCacheGoneItGoesStraightToAParent() {
        PolicyHarness none = new PolicyHarness(PolicyHarness.settings()).listNodes(0);
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
            found += uses.test(harness.serve(harness.get(++lastObject))) ? 1 : 0;
            harness.nowMs += stepMs;
        }
        return found;
    }

    @Test
    void aRestartedCacheTakesNothingAtOnceAndFewAfterThat() {
        servedWith(g -> true, 200, 60);
        harness.changeNodes(PolicyHarness.node(1, PolicyHarness.CACHE, State.READY, harness.nowMs));
        assertEquals(0, servedWith(g -> g.node() == 1, 100, 0));
        long toCold = servedWith(g -> g.node() == 1, 66, 60);
        assertTrue(toCold >= 1 && toCold <= 8, "of 66 requests, sent to the cold one of four caches: " + toCold);
    }

    @Test
    void doormansStartOnAColdCacheAtDifferentTimes() {
        List<Double> first = new ArrayList<>();
        for (int doormanIndex = 0; doormanIndex < 8; doormanIndex++) {
            harness = new PolicyHarness(PolicyHarness.settings(doormanIndex, 8)).listNodes(4);
            servedWith(g -> true, 200, 60);
            harness.changeNodes(PolicyHarness.node(1, PolicyHarness.CACHE, State.READY, harness.nowMs));
            double listedAtMs = harness.nowMs;
            while (servedWith(g -> g.node() == 1, 1, 20) == 0) {
                assertTrue(harness.nowMs < listedAtMs + 16_000, "the cold cache is never used");
            }
            first.add(harness.nowMs - listedAtMs);
        }
        assertTrue(first.stream().filter(ms -> ms < 1_000).count() <= 4, "first sends after " + first);
        assertTrue(
                first.stream().mapToDouble(ms -> ms).max().getAsDouble()
                        > 1.5 * first.stream().mapToDouble(ms -> ms).min().getAsDouble(),
                "first sends after " + first);
    }

    @Test
    void aCacheThatAnswersAgainAfterARefusedConnectIsTreatedAsCold() {
        servedWith(g -> true, 200, 60);
        Get get = harness.get(++lastObject);
        harness.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE);
        harness.nowMs += 1_000;
        int tries = 0;
        while (harness.serve(harness.get(++lastObject)).node() != get.node()) {
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
        Get get = harness.get(++lastObject);
        harness.outcome(get, 0, Result.RESET, Note.NONE);
        assertTrue(servedWith(g -> g.node() == get.node(), 100, 0) > 0);
    }

    @Test
    void aRestartDuringAFillSendsTheRequestElsewhere() {
        Get get = harness.get(42);
        harness.nowMs += 100;
        harness.changeNodes(PolicyHarness.node(get.node(), PolicyHarness.CACHE, State.READY, harness.nowMs));
        Get again = PolicyHarness.onlyAction(harness.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertNotEquals(get.node(), again.node());
    }

    @Test
    void aRestartedParentTakesNothingAtOnceAndFewFillsAfterThat() {
        servedWith(g -> true, 200, 60);
        harness.changeNodes(PolicyHarness.node(11, PolicyHarness.PARENT, State.READY, harness.nowMs));
        assertEquals(0, servedWith(g -> g.source() == 11, 100, 0));
        long toCold = servedWith(g -> g.source() == 11, 200, 60);
        assertTrue(toCold >= 1 && toCold < 35, "of 200 fills, from the cold one of two parents: " + toCold);
    }

    @Test
    void aRequestExpectedToHitNamesNoColdParent() {
        Get get = harness.serve(harness.get(42));
        harness.changeNodes(PolicyHarness.node(get.source(), PolicyHarness.PARENT, State.READY, harness.nowMs));
        assertNotEquals(get.source(), harness.get(42).source());
    }

    // ---- rule 5: purges ------------------------------------------------------------------------------------

    @Test
    void afterAPurgeNoOlderCopyIsAcceptedUntilAllAreDropped() {
        harness.serve(harness.get(42));
        harness.handle(new Purged(5, 42, 300));
        harness.nowMs += 1_000;
        Get get = harness.get(42);
        assertTrue(get.maxAgeMs() > 0 && get.maxAgeMs() <= 1_300, "age " + get.maxAgeMs());
        harness.nowMs += 6_000;
        assertEquals(0, harness.get(42).maxAgeMs());
    }

    @Test
    void aPurgeOfTheWholeGroupBoundsItsObjects() {
        harness.handle(new Purged(5, 0, 0));
        harness.nowMs += 1_000;
        double age = harness.get(42).maxAgeMs();
        assertTrue(age > 0 && age <= 1_000, "age " + age);
    }

    @Test
    void aPurgeAtThisInstantStillBoundsTheAge() {
        harness.handle(new Purged(5, 42, 0));
        double age = harness.get(42).maxAgeMs();
        assertTrue(age > 0 && age < PolicyHarness.TICK_MS, "age " + age);
    }

    @Test
    void aPurgeDuringARetryBoundsTheRetry() {
        Get get = harness.get(42);
        harness.handle(new Purged(5, 42, 0));
        harness.nowMs += 100;
        Get again = PolicyHarness.onlyAction(harness.outcome(get, 0, Result.RESET, Note.NONE), Get.class);
        assertTrue(again.maxAgeMs() > 0 && again.maxAgeMs() <= 100, "age " + again.maxAgeMs());
    }

    @Test
    void aPurgeNeverExtendsTheFreshTimeOfAClass() {
        harness.handle(new Purged(5, 42, 5_900));
        double age = PolicyHarness.onlyAction(harness.request(1, 42, 3_000), Get.class)
                .maxAgeMs();
        assertTrue(age > 0 && age <= 5_900, "age " + age);
        assertFalse(age > 8_000);
    }

    @Test
    void aPurgeDoesNotBoundAnotherObject() {
        harness.handle(new Purged(9, 77, 0));
        assertEquals(0, harness.get(42).maxAgeMs());
    }
}
