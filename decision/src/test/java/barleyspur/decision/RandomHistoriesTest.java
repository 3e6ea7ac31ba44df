package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Alarm;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Node;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Outcome;
import barleyspur.decision.RoutingPolicy.Purged;
import barleyspur.decision.RoutingPolicy.Request;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import barleyspur.decision.RoutingPolicy.WakeAt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the five rules on random event histories, and that the same seed repeats the same actions. */
class RandomHistoriesTest {

    private static final int STEPS = 4_000;
    private static final Result[] RESULTS = {
        Result.OK,
        Result.OK,
        Result.OK,
        Result.ERROR,
        Result.FULL,
        Result.CONNECT_FAILED,
        Result.RESET,
        Result.TIMEOUT,
        Result.MISS
    };

    /** A random history of events that is played against a policy. Each action is checked when it is ordered. */
    private static final class History {
        private final SplittableRandom random;
        private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);
        private final List<Action> actions = new ArrayList<>();
        private final TreeMap<Double, List<Long>> timers = new TreeMap<>();
        private final Map<Long, Double> deadlines = new HashMap<>();
        private final Map<Long, Integer> classIndexes = new HashMap<>();
        private final Map<Long, Long> objects = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, Boolean> mayHaveRun = new HashMap<>();
        private final Map<Long, Double> purgedAtMs = new HashMap<>();
        private final Map<Long, State> states = new HashMap<>();
        private final List<Runnable> unanswered = new ArrayList<>();
        private long lastRequest;

        History(long seed) {
            random = new SplittableRandom(seed);
        }

        List<Action> play() {
            for (int step = 0; step < STEPS; step++) {
                harness.nowMs += PolicyHarness.TICK_MS * random.nextInt(20);
                wake();
                switch (random.nextInt(12)) {
                    case 0 -> change();
                    case 1 -> purge();
                    case 2, 3, 4, 5, 6 -> request();
                    default -> answer();
                }
                deadlines
                        .values()
                        .forEach(d -> assertTrue(
                                d + 8 >= harness.nowMs - 40, "a request has no final answer after its deadline"));
            }
            return actions;
        }

        private void wake() {
            while (!timers.isEmpty() && timers.firstKey() <= harness.nowMs) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    check(harness.handle(new Alarm(token)));
                }
            }
        }

        private void change() {
            long id = random.nextInt(4) > 0 ? 1 + random.nextInt(4) : 11 + random.nextInt(2);
            State state = State.values()[random.nextInt(3)];
            states.put(id, state);
            Node node = PolicyHarness.node(
                    id, id < 10 ? PolicyHarness.CACHE : PolicyHarness.PARENT, state, random.nextInt(2) * harness.nowMs);
            check(harness.changeNodes(node));
        }

        private void purge() {
            long object = 1 + random.nextInt(50);
            purgedAtMs.put(object, harness.nowMs);
            check(harness.handle(new Purged(5, object, 0)));
        }

        private void request() {
            long id = ++lastRequest;
            double remainingMs = random.nextInt(4_000);
            deadlines.put(id, harness.nowMs + remainingMs);
            classIndexes.put(id, random.nextInt(3));
            objects.put(id, 1L + random.nextInt(50));
            check(harness.handle(
                    new Request(id, classIndexes.get(id), 0, objects.get(id), 0, 5, remainingMs, 0, false, false)));
        }

        private void answer() {
            if (!unanswered.isEmpty()) {
                unanswered.remove(random.nextInt(unanswered.size())).run();
            }
        }

        private void check(List<Action> newActions) {
            actions.addAll(newActions);
            for (Action action : newActions) {
                if (action instanceof WakeAt timer) {
                    timers.computeIfAbsent(timer.atMs(), k -> new ArrayList<>()).add(timer.token());
                } else if (action instanceof Get get) {
                    checkGet(get);
                } else if (action instanceof RoutingPolicy.Refuse refusal) {
                    boolean ran = classIndexes.get(refusal.request()) == 2
                            && mayHaveRun.getOrDefault(refusal.request(), false);
                    assertFalse(ran, "an unsafe request that may have run was refused");
                    closeRequest(refusal.request());
                } else if (action instanceof RoutingPolicy.Fail failure) {
                    closeRequest(failure.request());
                }
            }
        }

        private void closeRequest(long request) {
            assertTrue(deadlines.remove(request) != null, "a second final answer");
        }

        private void checkGet(Get get) {
            assertTrue(deadlines.containsKey(get.request()), "an attempt was sent after the final answer");
            assertEquals(State.READY, states.getOrDefault(get.node(), State.READY));
            assertEquals(State.READY, states.getOrDefault(get.source(), State.READY));
            double since = harness.nowMs - purgedAtMs.getOrDefault(objects.get(get.request()), -1e9);
            if (since < 6_000) {
                assertTrue(
                        get.maxAgeMs() > 0 && get.maxAgeMs() <= Math.max(since, 0.1),
                        "a purged copy would be accepted");
            }
            boolean unsafe = classIndexes.get(get.request()) == 2;
            assertFalse(
                    unsafe && mayHaveRun.getOrDefault(get.request(), false),
                    "an unsafe request that may have run was sent again");
            mayHaveRun.put(get.request(), true);
            int attempt = attempts.merge(get.request(), 1, Integer::sum) - 1;
            Result result = RESULTS[random.nextInt(RESULTS.length)];
            unanswered.add(() -> {
                boolean neverRan =
                        List.of(Result.FULL, Result.CONNECT_FAILED, Result.MISS).contains(result);
                boolean over = result == Result.OK || !deadlines.containsKey(get.request());
                if (neverRan) {
                    mayHaveRun.put(get.request(), false);
                }
                if (result == Result.OK) {
                    deadlines.remove(get.request());
                }
                check(harness.handle(
                        new Outcome(get.request(), attempt, get.node(), result, 50, over, Note.NONE, 0, List.of())));
            });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRulesHoldAndTheSameSeedRepeatsTheActions(long seed) {
        assertEquals(new History(seed).play(), new History(seed).play());
    }
}
