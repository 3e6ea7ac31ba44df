package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Alarm;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Refuse;
import barleyspur.decision.RoutingPolicy.Request;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.WakeAt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the concurrency limits on failures found in simulations, each reduced to a few events. */
class ConcurrencyLimitTest {

    private static final double LATE_MS = 3_000;

    private PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);

    private void lateFills(int count) {
        lateFills(count, 100);
    }

    /**
     * Requests new objects one after another. Their fills are late, lookups find no copy, and requests that bypass
     * the caches take {@code pastMs}.
     */
    private void lateFills(int count, double pastMs) {
        for (int i = 0; i < count; i++) {
            List<Get> sent = PolicyHarness.actionsOf(harness.request(0, 10_000 + i, 4_000), Get.class);
            harness.nowMs += 600;
            sent.forEach(get -> afterLookup(get)
                    .forEach(last -> harness.outcome(
                            last, last == get ? 0 : 1, Result.OK, Note.FILLED, last.node() <= 4 ? LATE_MS : pastMs)));
        }
    }

    private static boolean isLookup(Get get) {
        return get.source() == get.node();
    }

    /**
     * Returns the attempt itself, or if it is a lookup without a fill, what follows when it finds no copy: an attempt
     * past the caches, or none.
     */
    private List<Get> afterLookup(Get get) {
        return isLookup(get)
                ? PolicyHarness.actionsOf(harness.outcome(get, 0, Result.MISS, Note.NONE), Get.class)
                : List.of(get);
    }

    /** Returns how many fills of new objects are not admitted, but refused, looked up or sent past the caches. */
    private long countFillsNotAdmitted(int fills) {
        long refused = 0;
        for (int i = 0; i < fills; i++) {
            List<Action> actions = harness.request(0, 20_000 + i, 4_000);
            List<Get> sent = PolicyHarness.actionsOf(actions, Get.class);
            boolean filled = sent.stream().anyMatch(get -> !isLookup(get) && get.node() <= 4);
            sent.forEach(this::afterLookup);
            refused += filled ? 0 : 1;
        }
        return refused;
    }

    @Test
    void withoutLateAnswersAllFillsAreAdmitted() {
        assertEquals(0, countFillsNotAdmitted(20));
    }

    @Test
    void whileFillsAreLateFewAreAdmittedAndTheRestLooksUpOnce() {
        lateFills(12);
        assertTrue(countFillsNotAdmitted(20) >= 10);
    }

    /**
     * Guards against a station whose last cache is overloaded refusing clients although its link is idle: requests
     * that the caches can't take bypass them as long as answers by that path are in time.
     */
    @Test
    void whileFillsAreLimitedRequestsBypassTheCaches() {
        lateFills(12);
        int bypassed = 0;
        for (int i = 0; i < 20; i++) {
            List<Action> actions = harness.request(0, 20_000 + i, 4_000);
            for (Get get : PolicyHarness.actionsOf(actions, Get.class)) {
                List<Get> last = afterLookup(get);
                assertEquals(1, last.size(), "a lookup that finds no copy must not end in a refusal");
                bypassed += last.get(0).node() >= 11 ? 1 : 0;
                harness.outcome(last.get(0), last.get(0) == get ? 0 : 1, Result.OK, Note.FILLED, 100);
            }
            assertEquals(0, PolicyHarness.actionsOf(actions, Refuse.class).size());
        }
        assertTrue(bypassed >= 5, bypassed + " bypassed the caches");
    }

    /**
     * Guards against feeding a congested link past the caches: that path has a limit, lowered by its late answers.
     */
    @Test
    void whileBypassingAnswersAreLateRequestsAreRefused() {
        for (int i = 0; i < 60; i++) {
            lateFills(1, LATE_MS);
        }
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            List<Action> actions = harness.request(0, 30_000 + i, 4_000);
            refused += PolicyHarness.actionsOf(actions, Refuse.class).size();
            for (Get lookup : PolicyHarness.actionsOf(actions, Get.class).stream()
                    .filter(ConcurrencyLimitTest::isLookup)
                    .toList()) {
                refused += PolicyHarness.actionsOf(harness.outcome(lookup, 0, Result.MISS, Note.NONE), Refuse.class)
                        .size();
            }
        }
        assertTrue(refused >= 10, refused + " refused");
    }

    /**
     * Guards against blaming the path for the late fills of a cache that is overloaded itself, as its late hits show:
     * that limited the fills of all caches, also of those with free capacity.
     */
    @Test
    void lateFillsOfAnOverloadedCacheDoNotLimitOtherCaches() {
        for (int i = 0; i < 40; i++) {
            Get held = harness.get(50_000 + i);
            harness.outcome(held, 0, Result.OK, Note.FILLED, held.node() == 1 ? LATE_MS : 100);
            for (Get again : PolicyHarness.actionsOf(harness.request(0, 50_000 + i, 4_000), Get.class)) {
                harness.outcome(again, 0, Result.OK, Note.HIT, again.node() == 1 ? LATE_MS : 100);
            }
            harness.nowMs += 50;
        }
        long others = 0;
        for (int i = 0; i < 20; i++) {
            others += PolicyHarness.actionsOf(harness.request(0, 60_000 + i, 4_000), Get.class).stream()
                    .filter(get -> !isLookup(get) && get.node() > 1 && get.node() <= 4)
                    .count();
        }
        assertTrue(others >= 16, others + " fills by other caches");
    }

    @Test
    void aHolderIsStillUsedWhileFillsAreLimited() {
        Get held = harness.serve(harness.get(42));
        lateFills(8);
        countFillsNotAdmitted(20);
        harness.serve(held);
        assertEquals(
                1,
                PolicyHarness.actionsOf(harness.request(0, 42, 4_000), Get.class)
                        .size());
    }

    @Test
    void joinedFillsDoNotCountOnThePathToTheSource() {
        lateFills(12);
        harness.get(30_000);
        for (int i = 0; i < 2; i++) {
            harness.get(30_000);
        }
        assertEquals(
                1,
                PolicyHarness.actionsOf(harness.request(0, 30_001, 4_000), Get.class)
                        .size());
    }

    @Test
    void anAttemptInFlightAtItsLatencyTargetIsLate() {
        List<WakeAt> targetAlarms = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            List<Action> sent = harness.request(0, 10_000 + i, 4_000);
            targetAlarms.addAll(PolicyHarness.actionsOf(sent, WakeAt.class)
                    .subList(1, PolicyHarness.actionsOf(sent, WakeAt.class).size()));
        }
        for (WakeAt alarm : targetAlarms) {
            harness.nowMs = Math.max(harness.nowMs + 200, alarm.atMs());
            harness.handle(new Alarm(alarm.token()));
        }
        assertTrue(countFillsNotAdmitted(5) >= 4);
    }

    /** Guards against a hung parent limiting the fills from other parents too. */
    @Test
    void aLateParentDoesNotLimitFillsFromOthers() {
        long bad = harness.get(1).source();
        for (long object = 100; object < 160; object++) {
            Get get = harness.get(object);
            harness.nowMs += 600;
            harness.outcome(get, 0, Result.OK, Note.FILLED, get.source() == bad ? LATE_MS : 100);
        }
        assertEquals(0, countFillsNotAdmitted(20));
    }

    /** Guards against a hung parent getting fills until the first of them has timed out. */
    @Test
    void aParentThatServesNothingInTimeIsExcludedBeforeItsFillsTimeOut() {
        long bad = harness.get(1).source();
        List<WakeAt> alarms = new ArrayList<>();
        for (long object = 100; object < 120; object++) {
            List<Action> sent = harness.request(0, object, 4_000);
            Get get = PolicyHarness.onlyAction(sent, Get.class);
            if (get.source() == bad) {
                alarms.add(PolicyHarness.actionsOf(sent, WakeAt.class).get(1));
            } else {
                harness.outcome(get, 0, Result.OK, Note.FILLED);
            }
        }
        List<String> logLines = new ArrayList<>();
        for (WakeAt alarm : alarms) {
            harness.nowMs = alarm.atMs();
            PolicyHarness.actionsOf(harness.handle(new Alarm(alarm.token())), RoutingPolicy.Log.class)
                    .forEach(l -> logLines.add(l.line()));
        }
        assertEquals(List.of("node " + bad + " serves nothing in time: left out"), logLines);
    }

    @Test
    void aFailingParentIsExcludedAndTriedByOneFillAtATime() {
        long bad = harness.get(1).source();
        for (long object = 100; object < 140; object++) {
            Get get = harness.get(object);
            boolean fails = get.source() == bad;
            harness.outcome(get, 0, fails ? Result.FULL : Result.OK, fails ? Note.SOURCE_REFUSED : Note.FILLED);
        }
        for (long object = 200; object < 220; object++) {
            assertNotEquals(bad, harness.get(object).source());
        }
        harness.nowMs += 20_000;
        long tried = 0;
        for (long object = 300; object < 320; object++) {
            tried += harness.get(object).source() == bad ? 1 : 0;
        }
        assertEquals(1, tried);
    }

    @Test
    void aCacheThatRefusesAConnectionIsExcluded() {
        Get first = harness.serve(harness.get(42));
        Get get = harness.get(42);
        harness.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE);
        assertNotEquals(first.node(), harness.get(42).node());
    }

    @Test
    void notesBlameTheParentAndNoCache() {
        List<Action> log = new ArrayList<>();
        long bad = harness.get(1).source();
        for (long object = 100; object < 180; object++) {
            Get get = harness.get(object);
            Result result = get.source() == bad ? Result.ERROR : Result.OK;
            log.addAll(harness.outcome(get, 0, result, result == Result.OK ? Note.FILLED : Note.SOURCE_FAILED));
        }
        assertTrue(PolicyHarness.actionsOf(log, RoutingPolicy.Log.class).stream()
                .allMatch(l -> l.line().contains("node " + bad)));
        assertEquals(1, PolicyHarness.actionsOf(log, RoutingPolicy.Log.class).size());
    }

    @Test
    void largeRequestsAreLimitedFirst() {
        lateFills(8);
        long small = 0;
        long large = 0;
        for (int i = 0; i < 40; i++) {
            harness.nowMs += 400;
            small += countAdmittedFills(new Request(5_000 + i, 0, 0, 50_000 + i, 0, 5, 4_000, 10, false, false));
            large += countAdmittedFills(new Request(6_000 + i, 0, 0, 60_000 + i, 0, 5, 4_000, 20_000, false, false));
        }
        assertTrue(small > 2 * large, small + " small, " + large + " large");
    }

    private long countAdmittedFills(Request request) {
        List<Get> gets = PolicyHarness.actionsOf(harness.handle(request), Get.class);
        boolean fill = gets.stream().anyMatch(get -> get.source() != get.node());
        gets.forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, LATE_MS));
        return fill ? 1 : 0;
    }

    /**
     * Guards against a lower bound of one attempt for each doorman, which kept a cache overloaded that was late for
     * all of them.
     */
    @Test
    void aCacheThatIsAlwaysLateGetsLessThanOneAttemptAtATime() {
        long overloadedCache = harness.get(1).node();
        long sent = 0;
        for (int i = 0; i < 300; i++) {
            harness.nowMs += 300;
            Get get = harness.get(40_000 + i);
            harness.outcome(get, 0, Result.OK, Note.HIT, get.node() == overloadedCache ? LATE_MS : 100);
            sent += i >= 200 && get.node() == overloadedCache ? 1 : 0;
        }
        assertTrue(sent < 12, "attempts of the last 100, where its even share is 25: " + sent);
    }

    @Test
    void whileTheOriginFailsTooParentsAreNotExcluded() {
        for (int i = 0; i < 40; i++) {
            Get get = harness.get(70_000 + i);
            for (int n = 0; n < 6; n++) {
                List<Get> again =
                        PolicyHarness.actionsOf(harness.outcome(get, n, Result.FULL, Note.SOURCE_REFUSED), Get.class);
                if (again.isEmpty()) {
                    break;
                }
                get = again.get(0);
            }
        }
        long source = RoutingPolicy.NO_NODE;
        for (int i = 0; i < 50 && source == RoutingPolicy.NO_NODE; i++) {
            List<Get> fills = PolicyHarness.actionsOf(harness.request(0, 80_000 + i, 4_000), Get.class);
            source = fills.stream()
                    .filter(get -> get.source() != get.node())
                    .mapToLong(Get::source)
                    .findFirst()
                    .orElse(source);
        }
        assertTrue(source == 11 || source == 12, "source " + source);
    }

    /** Lets hits stay unanswered until the timer ahead of the deadline closes their requests. */
    private void loseHits(int count) {
        Get held = harness.serve(harness.get(42));
        for (int i = 0; i < count; i++) {
            harness.outcome(held, 0, Result.OK, Note.HIT);
            List<Action> sent = harness.request(0, 42, 4_000);
            harness.nowMs += 4_100;
            harness.handle(new Alarm(PolicyHarness.deadline(sent).token()));
            harness.outcome(PolicyHarness.onlyAction(sent, Get.class), 0, Result.CANCELLED, Note.NONE, 4_000);
        }
    }

    private long object = 91_000;

    private List<Get> fireBackupTimer(List<Action> sent) {
        List<WakeAt> timers = PolicyHarness.actionsOf(sent, WakeAt.class);
        WakeAt backup = timers.get(timers.size() - 1);
        harness.nowMs = backup.atMs();
        return PolicyHarness.actionsOf(harness.handle(new Alarm(backup.token())), Get.class);
    }

    @Test
    void aBackupIsSentAfterLostHitsAndTheOtherAttemptIsCancelledWhenOneWins() {
        loseHits(3);
        List<Action> sent = harness.request(0, 90_000, 4_000);
        Get backup = fireBackupTimer(sent).get(0);
        assertEquals(PolicyHarness.onlyAction(sent, Get.class).request(), backup.request());
        List<Action> won = harness.outcome(backup, 1, Result.OK, Note.HIT);
        assertEquals(
                0, PolicyHarness.onlyAction(won, RoutingPolicy.Cancel.class).attempt());
    }

    /** Guards against requests to a cache that hangs or has vanished waiting for their deadlines. */
    @Test
    void aRequestToASilentCacheIsRetriedElsewhere() {
        List<Action> sent = harness.request(0, 90_000, 4_000);
        Get first = PolicyHarness.onlyAction(sent, Get.class);
        List<Get> further = fireBackupTimer(sent);
        assertEquals(1, further.size());
        assertTrue(further.get(0).node() != first.node());
        List<Action> other = harness.request(0, 90_001, 4_000);
        Get answers = PolicyHarness.onlyAction(other, Get.class);
        harness.nowMs += 1;
        while (harness.serve(harness.get(++object)).node() != answers.node()) {
            assertTrue(object < 92_000, "that cache gets no other request");
        }
        assertEquals(List.of(), fireBackupTimer(other), "the cache has answered since the attempt was sent");
    }

    @Test
    void withoutLostAnswersThereAreNoBackupsHoweverLateFillsAre() {
        lateFills(12);
        assertEquals(0, fireBackupTimer(harness.request(0, 90_000, 4_000)).size());
    }

    @Test
    void whileFillsAreLateAStaleCopyIsAccepted() {
        harness = new PolicyHarness(PolicyHarness.settings(List.of(PolicyHarness.staleClass()))).listNodes(4);
        Get before = harness.get(1);
        assertEquals(8_000, before.maxAgeMs());
        lateFills(30, LATE_MS);
        assertEquals(28_000, harness.get(2).maxAgeMs());
    }

    @Test
    void aColdCacheGetsNoLookups() {
        lateFills(12);
        for (int id = 1; id <= 4; id++) {
            harness.changeNodes(PolicyHarness.node(id, PolicyHarness.CACHE, RoutingPolicy.State.READY, harness.nowMs));
        }
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            actions.addAll(harness.request(0, 95_000 + i, 4_000));
        }
        assertTrue(PolicyHarness.actionsOf(actions, Get.class).stream().noneMatch(get -> get.source() == get.node()));
    }
}
