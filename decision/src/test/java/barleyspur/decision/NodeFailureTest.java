package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Refuse;
import barleyspur.decision.RoutingPolicy.Result;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests how a doorman with few requests handles caches and sources that fail before the list reports them. */
class NodeFailureTest {

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.hitNotesSettings()).listNodes(4);
    private long object = 1_000;

    /**
     * Requests {@code count} new objects, refuses the attempts that match and serves the others. Returns the sources
     * that the attempts named.
     */
    private Set<Long> sources(int count, Predicate<Get> refuses) {
        Set<Long> sources = new HashSet<>();
        for (int i = 0; i < count; i++) {
            harness.nowMs += 20;
            Get get = harness.get(++object);
            for (int attempt = 0; get != null; attempt++) {
                sources.add(get.source());
                List<Action> next = refuses.test(get)
                        ? harness.outcome(get, attempt, Result.FULL, Note.NONE, 5)
                        : harness.outcome(get, attempt, Result.OK, Note.FILLED, 100);
                List<Get> again = PolicyHarness.actionsOf(next, Get.class);
                get = again.isEmpty() ? null : again.get(0);
            }
        }
        return sources;
    }

    /**
     * Guards against blaming the sources of a draining cache, which refuses everything including fills before the
     * list reports that it drains: a single refusal excluded a parent, and the fills of all doormans went to the
     * origin.
     */
    @Test
    void aCacheThatRefusesEverythingDoesNotExcludeItsSources() {
        Set<Long> sources = sources(60, get -> get.node() == 1);
        assertEquals(Set.of(11L, 12L), sources);
    }

    /** The opposite case: a source that can't be reached fails at one cache after another and is excluded. */
    @Test
    void aSourceWhoseFillsAllCachesRefuseIsExcluded() {
        sources(20, get -> get.source() == 11);
        assertEquals(Set.of(12L), sources(10, get -> get.source() == 11));
    }

    /**
     * Guards against comparing a late parent with its only peer while that is excluded, serves nothing and so is
     * never late: both parents were excluded, and all fills went to the origin and were refused.
     */
    @Test
    void theLastUsableParentIsNotExcludedForLateness() {
        sources(20, get -> get.source() == 11);
        List<Get> slow = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            slow.add(harness.get(++object));
        }
        assertTrue(slow.stream().filter(get -> get.source() == 12).count() >= 6);
        harness.nowMs += 450;
        slow.forEach(get -> harness.handle(new RoutingPolicy.Alarm(get.request() + (1L << 32))));
        slow.forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, 450));
        Set<Long> sources = sources(10, get -> get.source() == 11);
        assertTrue(sources.contains(12L) && !sources.contains(20L), "sources " + sources);
    }

    private void makeAllCachesUnreachable() {
        Set<Long> unreachable = new HashSet<>();
        for (int i = 0; i < 40 && unreachable.size() < 4; i++) {
            harness.nowMs += 20;
            Get get = harness.get(++object);
            for (int attempt = 0; get != null; attempt++) {
                if (get.node() > 4) {
                    harness.outcome(get, attempt, Result.OK, Note.FILLED, 100);
                    break;
                }
                unreachable.add(get.node());
                List<Get> again = PolicyHarness.actionsOf(
                        harness.outcome(get, attempt, Result.CONNECT_FAILED, Note.NONE, 400), Get.class);
                get = again.isEmpty() ? null : again.get(0);
            }
        }
        assertEquals(4, unreachable.size());
    }

    /**
     * Guards against retrying unreachable caches over and over because few are left, with a connect timeout each,
     * until the retry budget is spent. If no cache of the location can be reached, requests go straight to a parent
     * and none is refused.
     */
    @Test
    void anUnreachableLocationIsBypassed() {
        makeAllCachesUnreachable();
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            harness.nowMs += 5;
            List<Action> sent = harness.request(0, ++object, 4_000);
            actions.addAll(sent);
            PolicyHarness.actionsOf(sent, Get.class)
                    .forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, 100));
        }
        assertEquals(0, PolicyHarness.actionsOf(actions, Refuse.class).size());
        assertTrue(PolicyHarness.actionsOf(actions, Get.class).stream()
                .allMatch(get -> get.node() >= 11 && get.source() == 20));
        assertEquals(40, PolicyHarness.actionsOf(actions, Get.class).size());
    }

    /**
     * Guards against overloading the one parent that is left when another hangs, before the first late answer is
     * known: the limit on requests that bypass the caches starts low and grows with answers in time.
     */
    @Test
    void theBypassLimitGrowsWithAnswersInTime() {
        makeAllCachesUnreachable();
        List<Get> first = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            first.addAll(PolicyHarness.actionsOf(harness.request(0, ++object, 4_000), Get.class));
        }
        assertTrue(first.size() <= 8, first.size() + " requests at once");
        for (int i = 0; i < 60; i++) {
            PolicyHarness.actionsOf(harness.request(0, ++object, 4_000), Get.class)
                    .forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, 100));
            first.forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, 100));
        }
        List<Get> later = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            later.addAll(PolicyHarness.actionsOf(harness.request(0, ++object, 4_000), Get.class));
        }
        assertTrue(later.size() > first.size() + 2, later.size() + " requests, at first " + first.size());
    }

    /** A request that bypasses the caches and fails at one parent goes to the next one. */
    @Test
    void aBypassingRequestDoesNotRetryAFailedParent() {
        makeAllCachesUnreachable();
        Get first = harness.get(++object);
        Get second = PolicyHarness.onlyAction(harness.outcome(first, 0, Result.ERROR, Note.NONE, 5), Get.class);
        assertNotEquals(first.node(), second.node());
        assertTrue(second.node() == 11 || second.node() == 12);
    }

    /**
     * Guards against long exclusions: a quarter of a location's caches stayed idle for 8 s after it had recovered,
     * while the others refused requests. A cache that failed for long is tried again within 2 s.
     */
    @Test
    void aCacheThatFailedForLongIsTriedWithinTwoSeconds() {
        double failingUntilMs = harness.nowMs + 20_000;
        while (harness.nowMs < failingUntilMs) {
            harness.nowMs += 20;
            Get get = harness.get(++object);
            harness.outcome(get, 0, get.node() == 1 ? Result.ERROR : Result.OK, Note.NONE, 50);
        }
        int tried = 0;
        for (double until = harness.nowMs + 2_200; harness.nowMs < until; harness.nowMs += 20) {
            Get get = harness.get(++object);
            tried += get.node() == 1 ? 1 : 0;
            harness.outcome(get, 0, Result.OK, Note.FILLED, 50);
        }
        assertTrue(tried >= 3, tried + " attempts");
    }
}
