package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Action;
import barleyspur.decision.Director.Alarm;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Refuse;
import barleyspur.decision.Director.Request;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.WakeAt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the concurrency limits on failures found in simulations, each reduced to a few events. */
class LimitsTest {

    private static final double LATE_MS = 3_000;

    private Bench bench = new Bench(Bench.settings()).list(4);

    private void lateFills(int count) {
        lateFills(count, 100);
    }

    /**
     * Requests new objects one after another. Their fills are late, lookups find no copy, and requests that bypass
     * the caches take {@code pastMs}.
     */
    private void lateFills(int count, double pastMs) {
        for (int i = 0; i < count; i++) {
            List<Get> sent = Bench.all(bench.request(0, 10_000 + i, 4_000), Get.class);
            bench.now += 600;
            sent.forEach(get -> pastLook(get)
                    .forEach(last -> bench.outcome(
                            last, last == get ? 0 : 1, Result.OK, Note.FILLED, last.node() <= 4 ? LATE_MS : pastMs)));
        }
    }

    private static boolean isLook(Get get) {
        return get.source() == get.node();
    }

    /**
     * Returns the attempt itself, or if it is a lookup without a fill, what follows when it finds no copy: an attempt
     * past the caches, or none.
     */
    private List<Get> pastLook(Get get) {
        return isLook(get) ? Bench.all(bench.outcome(get, 0, Result.MISS, Note.NONE), Get.class) : List.of(get);
    }

    /** Returns how many fills of new objects are not admitted, but refused, looked up or sent past the caches. */
    private long refusedOf(int fills) {
        long refused = 0;
        for (int i = 0; i < fills; i++) {
            List<Action> actions = bench.request(0, 20_000 + i, 4_000);
            List<Get> sent = Bench.all(actions, Get.class);
            boolean filled = sent.stream().anyMatch(get -> !isLook(get) && get.node() <= 4);
            sent.forEach(this::pastLook);
            refused += filled ? 0 : 1;
        }
        return refused;
    }

    @Test
    void aQuietDayKeepsNoneOut() {
        assertEquals(0, refusedOf(20));
    }

    @Test
    void whileFillsComeLateFewAreLetInAndTheRestLooksOnceForWhatOthersFilled() {
        lateFills(12);
        assertTrue(refusedOf(20) >= 10);
    }

    /**
     * Guards against a station whose last cache is overloaded refusing clients although its link is idle: requests
     * that the caches can't take bypass them as long as answers by that path are in time.
     */
    @Test
    void whileFillsAreKeptOutRequestsGoPastTheCaches() {
        lateFills(12);
        int past = 0;
        for (int i = 0; i < 20; i++) {
            List<Action> actions = bench.request(0, 20_000 + i, 4_000);
            for (Get get : Bench.all(actions, Get.class)) {
                List<Get> last = pastLook(get);
                assertEquals(1, last.size(), "a lookup that finds no copy must not end in a refusal");
                past += last.get(0).node() >= 11 ? 1 : 0;
                bench.outcome(last.get(0), last.get(0) == get ? 0 : 1, Result.OK, Note.FILLED, 100);
            }
            assertEquals(0, Bench.all(actions, Refuse.class).size());
        }
        assertTrue(past >= 5, past + " bypassed the caches");
    }

    /**
     * Guards against feeding a congested link past the caches: that path has a limit, lowered by its late answers.
     */
    @Test
    void whilePastTheCachesAnswersComeLateRequestsAreRefused() {
        for (int i = 0; i < 60; i++) {
            lateFills(1, LATE_MS);
        }
        int refused = 0;
        for (int i = 0; i < 20; i++) {
            List<Action> actions = bench.request(0, 30_000 + i, 4_000);
            refused += Bench.all(actions, Refuse.class).size();
            for (Get look : Bench.all(actions, Get.class).stream()
                    .filter(LimitsTest::isLook)
                    .toList()) {
                refused += Bench.all(bench.outcome(look, 0, Result.MISS, Note.NONE), Refuse.class)
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
    void lateFillsOfACrowdedCacheKeepNoOthersOut() {
        for (int i = 0; i < 40; i++) {
            Get held = bench.get(50_000 + i);
            bench.outcome(held, 0, Result.OK, Note.FILLED, held.node() == 1 ? LATE_MS : 100);
            for (Get again : Bench.all(bench.request(0, 50_000 + i, 4_000), Get.class)) {
                bench.outcome(again, 0, Result.OK, Note.HIT, again.node() == 1 ? LATE_MS : 100);
            }
            bench.now += 50;
        }
        long others = 0;
        for (int i = 0; i < 20; i++) {
            others += Bench.all(bench.request(0, 60_000 + i, 4_000), Get.class).stream()
                    .filter(get -> !isLook(get) && get.node() > 1 && get.node() <= 4)
                    .count();
        }
        assertTrue(others >= 16, others + " fills by other caches");
    }

    @Test
    void aHolderIsStillServedWhileFillsAreKeptOut() {
        Get held = bench.served(bench.get(42));
        lateFills(8);
        refusedOf(20);
        bench.served(held);
        assertEquals(1, Bench.all(bench.request(0, 42, 4_000), Get.class).size());
    }

    @Test
    void joinedFillsTakeNoPlaceOnTheWayToTheSource() {
        lateFills(12);
        bench.get(30_000);
        for (int i = 0; i < 2; i++) {
            bench.get(30_000);
        }
        assertEquals(1, Bench.all(bench.request(0, 30_001, 4_000), Get.class).size());
    }

    @Test
    void anAttemptStillOutAtItsAimIsLate() {
        List<WakeAt> aims = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            List<Action> sent = bench.request(0, 10_000 + i, 4_000);
            aims.addAll(Bench.all(sent, WakeAt.class)
                    .subList(1, Bench.all(sent, WakeAt.class).size()));
        }
        for (WakeAt aim : aims) {
            bench.now = Math.max(bench.now + 200, aim.atMs());
            bench.tell(new Alarm(aim.token()));
        }
        assertTrue(refusedOf(5) >= 4);
    }

    /** Guards against a hung parent limiting the fills from other parents too. */
    @Test
    void aParentThatAloneIsLateKeepsOutNoFillsByOthers() {
        long bad = bench.get(1).source();
        for (long object = 100; object < 160; object++) {
            Get get = bench.get(object);
            bench.now += 600;
            bench.outcome(get, 0, Result.OK, Note.FILLED, get.source() == bad ? LATE_MS : 100);
        }
        assertEquals(0, refusedOf(20));
    }

    /** Guards against a hung parent getting fills until the first of them has timed out. */
    @Test
    void aParentThatServesNothingInTimeIsLeftOutBeforeItsFillsTimeOut() {
        long bad = bench.get(1).source();
        List<WakeAt> alarms = new ArrayList<>();
        for (long object = 100; object < 120; object++) {
            List<Action> sent = bench.request(0, object, 4_000);
            Get get = Bench.only(sent, Get.class);
            if (get.source() == bad) {
                alarms.add(Bench.all(sent, WakeAt.class).get(1));
            } else {
                bench.outcome(get, 0, Result.OK, Note.FILLED);
            }
        }
        List<String> said = new ArrayList<>();
        for (WakeAt alarm : alarms) {
            bench.now = alarm.atMs();
            Bench.all(bench.tell(new Alarm(alarm.token())), Director.Log.class).forEach(l -> said.add(l.line()));
        }
        assertEquals(List.of("node " + bad + " serves nothing in time: left out"), said);
    }

    @Test
    void aFailingParentIsLeftOutAndTriedByOneFillAtATime() {
        long bad = bench.get(1).source();
        for (long object = 100; object < 140; object++) {
            Get get = bench.get(object);
            boolean fails = get.source() == bad;
            bench.outcome(get, 0, fails ? Result.FULL : Result.OK, fails ? Note.SOURCE_REFUSED : Note.FILLED);
        }
        for (long object = 200; object < 220; object++) {
            assertNotEquals(bad, bench.get(object).source());
        }
        bench.now += 20_000;
        long tried = 0;
        for (long object = 300; object < 320; object++) {
            tried += bench.get(object).source() == bad ? 1 : 0;
        }
        assertEquals(1, tried);
    }

    @Test
    void aCacheThatRefusesAConnectIsLeftOut() {
        Get first = bench.served(bench.get(42));
        Get get = bench.get(42);
        bench.outcome(get, 0, Result.CONNECT_FAILED, Note.NONE);
        assertNotEquals(first.node(), bench.get(42).node());
    }

    @Test
    void notesBlameTheParentAndNoCache() {
        List<Action> log = new ArrayList<>();
        long bad = bench.get(1).source();
        for (long object = 100; object < 180; object++) {
            Get get = bench.get(object);
            Result result = get.source() == bad ? Result.ERROR : Result.OK;
            log.addAll(bench.outcome(get, 0, result, result == Result.OK ? Note.FILLED : Note.SOURCE_FAILED));
        }
        assertTrue(Bench.all(log, Director.Log.class).stream()
                .allMatch(l -> l.line().contains("node " + bad)));
        assertEquals(1, Bench.all(log, Director.Log.class).size());
    }

    @Test
    void largeRequestsGiveWayFirst() {
        lateFills(8);
        long small = 0;
        long large = 0;
        for (int i = 0; i < 40; i++) {
            bench.now += 400;
            small += fillsLetIn(new Request(5_000 + i, 0, 0, 50_000 + i, 0, 5, 4_000, 10, false, false));
            large += fillsLetIn(new Request(6_000 + i, 0, 0, 60_000 + i, 0, 5, 4_000, 20_000, false, false));
        }
        assertTrue(small > 2 * large, small + " small, " + large + " large");
    }

    private long fillsLetIn(Request request) {
        List<Get> gets = Bench.all(bench.tell(request), Get.class);
        boolean fill = gets.stream().anyMatch(g -> g.source() != g.node());
        gets.forEach(g -> bench.outcome(g, 0, Result.OK, Note.FILLED, LATE_MS));
        return fill ? 1 : 0;
    }

    /**
     * Guards against a lower bound of one attempt for each doorman, which kept a cache overloaded that was late for
     * all of them.
     */
    @Test
    void aCacheThatIsAlwaysLateGetsLessThanOneAttemptAtATime() {
        long crowded = bench.get(1).node();
        long sent = 0;
        for (int i = 0; i < 300; i++) {
            bench.now += 300;
            Get get = bench.get(40_000 + i);
            bench.outcome(get, 0, Result.OK, Note.HIT, get.node() == crowded ? LATE_MS : 100);
            sent += i >= 200 && get.node() == crowded ? 1 : 0;
        }
        assertTrue(sent < 12, "attempts of the last 100, where its even share is 25: " + sent);
    }

    @Test
    void whileTheOriginFailsTooParentsAreNotLeftOutForWhatTheyLack() {
        for (int i = 0; i < 40; i++) {
            Get get = bench.get(70_000 + i);
            for (int n = 0; n < 6; n++) {
                List<Get> again = Bench.all(bench.outcome(get, n, Result.FULL, Note.SOURCE_REFUSED), Get.class);
                if (again.isEmpty()) {
                    break;
                }
                get = again.get(0);
            }
        }
        long source = Director.NO_NODE;
        for (int i = 0; i < 50 && source == Director.NO_NODE; i++) {
            List<Get> fills = Bench.all(bench.request(0, 80_000 + i, 4_000), Get.class);
            source = fills.stream()
                    .filter(g -> g.source() != g.node())
                    .mapToLong(Get::source)
                    .findFirst()
                    .orElse(source);
        }
        assertTrue(source == 11 || source == 12, "source " + source);
    }

    /** Lets hits stay unanswered until the timer ahead of the deadline closes their requests. */
    private void loseAnswers(int count) {
        Get held = bench.served(bench.get(42));
        for (int i = 0; i < count; i++) {
            bench.outcome(held, 0, Result.OK, Note.HIT);
            List<Action> sent = bench.request(0, 42, 4_000);
            bench.now += 4_100;
            bench.tell(new Alarm(Bench.deadline(sent).token()));
            bench.outcome(Bench.only(sent, Get.class), 0, Result.CANCELLED, Note.NONE, 4_000);
        }
    }

    private long object = 91_000;

    private List<Get> atHalfItsAim(List<Action> sent) {
        List<WakeAt> timers = Bench.all(sent, WakeAt.class);
        WakeAt backup = timers.get(timers.size() - 1);
        bench.now = backup.atMs();
        return Bench.all(bench.tell(new Alarm(backup.token())), Get.class);
    }

    @Test
    void aBackupIsSentOnceAnswersHaveBeenLostAndTheOtherIsCalledOffWhenOneWins() {
        loseAnswers(3);
        List<Action> sent = bench.request(0, 90_000, 4_000);
        Get backup = atHalfItsAim(sent).get(0);
        assertEquals(Bench.only(sent, Get.class).request(), backup.request());
        List<Action> won = bench.outcome(backup, 1, Result.OK, Note.HIT);
        assertEquals(0, Bench.only(won, Director.Cancel.class).attempt());
    }

    /** Guards against requests to a cache that hangs or has vanished waiting for their deadlines. */
    @Test
    void fromACacheThatAnswersNothingARequestGoesOnElsewhere() {
        List<Action> sent = bench.request(0, 90_000, 4_000);
        Get first = Bench.only(sent, Get.class);
        List<Get> further = atHalfItsAim(sent);
        assertEquals(1, further.size());
        assertTrue(further.get(0).node() != first.node());
        List<Action> other = bench.request(0, 90_001, 4_000);
        Get answers = Bench.only(other, Get.class);
        bench.now += 1;
        while (bench.served(bench.get(++object)).node() != answers.node()) {
            assertTrue(object < 92_000, "that cache gets no other request");
        }
        assertEquals(List.of(), atHalfItsAim(other), "the cache has answered since the attempt was sent");
    }

    @Test
    void withoutLostAnswersThereAreNoBackupsHoweverLateFillsAre() {
        lateFills(12);
        assertEquals(0, atHalfItsAim(bench.request(0, 90_000, 4_000)).size());
    }

    @Test
    void whereFillsGoBadlyACopyPastItsFreshTimeWillDo() {
        bench = new Bench(Bench.settings(List.of(Bench.staleClass()))).list(4);
        Get before = bench.get(1);
        assertEquals(8_000, before.maxAgeMs());
        lateFills(30, LATE_MS);
        assertEquals(28_000, bench.get(2).maxAgeMs());
    }

    @Test
    void aColdCacheIsNotLookedAt() {
        lateFills(12);
        for (int id = 1; id <= 4; id++) {
            bench.change(Bench.node(id, Bench.CACHE, Director.State.READY, bench.now));
        }
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            actions.addAll(bench.request(0, 95_000 + i, 4_000));
        }
        assertTrue(Bench.all(actions, Get.class).stream().noneMatch(g -> g.source() == g.node()));
    }
}
