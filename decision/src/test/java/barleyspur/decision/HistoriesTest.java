package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Action;
import barleyspur.decision.Director.Alarm;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.Node;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Outcome;
import barleyspur.decision.Director.Purged;
import barleyspur.decision.Director.Request;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.State;
import barleyspur.decision.Director.WakeAt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the five rules on random event histories, and that the same seed repeats the same actions. */
class HistoriesTest {

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
        private final Bench bench = new Bench(Bench.settings()).list(4);
        private final List<Action> ordered = new ArrayList<>();
        private final TreeMap<Double, List<Long>> timers = new TreeMap<>();
        private final Map<Long, Double> deadlines = new HashMap<>();
        private final Map<Long, Integer> category = new HashMap<>();
        private final Map<Long, Long> objects = new HashMap<>();
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, Boolean> maybeRan = new HashMap<>();
        private final Map<Long, Double> purged = new HashMap<>();
        private final Map<Long, State> states = new HashMap<>();
        private final List<Runnable> out = new ArrayList<>();
        private long last;

        History(long seed) {
            random = new SplittableRandom(seed);
        }

        List<Action> play() {
            for (int step = 0; step < STEPS; step++) {
                bench.now += Bench.TICK * random.nextInt(20);
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
                                d + 8 >= bench.now - 40, "a request has no final answer after its deadline"));
            }
            return ordered;
        }

        private void wake() {
            while (!timers.isEmpty() && timers.firstKey() <= bench.now) {
                for (long token : timers.pollFirstEntry().getValue()) {
                    check(bench.tell(new Alarm(token)));
                }
            }
        }

        private void change() {
            long id = random.nextInt(4) > 0 ? 1 + random.nextInt(4) : 11 + random.nextInt(2);
            State state = State.values()[random.nextInt(3)];
            states.put(id, state);
            Node n = Bench.node(id, id < 10 ? Bench.CACHE : Bench.PARENT, state, random.nextInt(2) * bench.now);
            check(bench.change(n));
        }

        private void purge() {
            long object = 1 + random.nextInt(50);
            purged.put(object, bench.now);
            check(bench.tell(new Purged(5, object, 0)));
        }

        private void request() {
            long id = ++last;
            double left = random.nextInt(4_000);
            deadlines.put(id, bench.now + left);
            category.put(id, random.nextInt(3));
            objects.put(id, 1L + random.nextInt(50));
            check(bench.tell(new Request(id, category.get(id), 0, objects.get(id), 0, 5, left, 0, false, false)));
        }

        private void answer() {
            if (!out.isEmpty()) {
                out.remove(random.nextInt(out.size())).run();
            }
        }

        private void check(List<Action> actions) {
            ordered.addAll(actions);
            for (Action a : actions) {
                if (a instanceof WakeAt w) {
                    timers.computeIfAbsent(w.atMs(), k -> new ArrayList<>()).add(w.token());
                } else if (a instanceof Get g) {
                    checkGet(g);
                } else if (a instanceof Director.Refuse r) {
                    boolean ran = category.get(r.request()) == 2 && maybeRan.getOrDefault(r.request(), false);
                    assertFalse(ran, "an unsafe request that may have run was refused");
                    ends(r.request());
                } else if (a instanceof Director.Fail f) {
                    ends(f.request());
                }
            }
        }

        private void ends(long request) {
            assertTrue(deadlines.remove(request) != null, "a second final answer");
        }

        private void checkGet(Get g) {
            assertTrue(deadlines.containsKey(g.request()), "an attempt was sent after the final answer");
            assertEquals(State.READY, states.getOrDefault(g.node(), State.READY));
            assertEquals(State.READY, states.getOrDefault(g.source(), State.READY));
            double since = bench.now - purged.getOrDefault(objects.get(g.request()), -1e9);
            if (since < 6_000) {
                assertTrue(g.maxAgeMs() > 0 && g.maxAgeMs() <= Math.max(since, 0.1), "a purged copy would be accepted");
            }
            boolean unsafe = category.get(g.request()) == 2;
            assertFalse(
                    unsafe && maybeRan.getOrDefault(g.request(), false),
                    "an unsafe request that may have run was sent again");
            maybeRan.put(g.request(), true);
            int attempt = attempts.merge(g.request(), 1, Integer::sum) - 1;
            Result result = RESULTS[random.nextInt(RESULTS.length)];
            out.add(() -> {
                boolean neverRan =
                        List.of(Result.FULL, Result.CONNECT_FAILED, Result.MISS).contains(result);
                boolean over = result == Result.OK || !deadlines.containsKey(g.request());
                if (neverRan) {
                    maybeRan.put(g.request(), false);
                }
                if (result == Result.OK) {
                    deadlines.remove(g.request());
                }
                check(bench.tell(
                        new Outcome(g.request(), attempt, g.node(), result, 50, over, Note.NONE, 0, List.of())));
            });
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRulesHoldAndTheSameHistoryRepeatsItself(long seed) {
        assertEquals(new History(seed).play(), new History(seed).play());
    }
}
