package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.ListKind;
import barleyspur.decision.Director.Node;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.State;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how much work all doormans of a fleet together send to a cache or a parent that has just started. The random
 * schedules have doormans with unequal traffic, silence followed by a burst, doormans that restart and lose their
 * state, two cold caches at once and a list that is delayed. The bound in the span of the settings is N calls, which
 * the settings allow at that time, plus 2 sqrt(N) + 2 for chance; see {@code docs/design/acceptance.md}.
 */
class ColdRampTest {

    private static final int SCHEDULES = 24;
    private static final double STEP_MS = 25;
    private static final double WARM_UP_MS = 12_000;
    private static final double MEAN_WORK_MS = 100;
    private static final double PACE_KB_PER_MS = 5;
    private static final int CACHES = 4;
    private static final int COLD_CACHE = 1;
    private static final int OTHER_COLD_CACHE = 2;
    private static final int COLD_PARENT = 11;

    /** One schedule: the budget by the settings, and the behaviour of the traffic and the doormans. */
    private static final class Schedule {
        final SplittableRandom random;
        final int directors;
        final double fallMs;
        final Director.ColdRule cache;
        final Director.ColdRule parent;
        final boolean sizes;
        /** Calls of mean work that a warm cache can serve in a millisecond; a parent can serve twice that. */
        final double perMs;
        /** The mean traffic, as a share of the capacity of the caches. */
        final double load;
        /** Each doorman's share of the traffic. */
        final double[] weight;
        /** The period of bursts, at most the time until a node is warm; 0: even traffic. */
        final double burstsMs;

        final boolean twoCold;
        final double restartsPerMs;
        final List<Bench> benches = new ArrayList<>();
        /** When the list reports the restarts to each doorman. */
        final double[] told;

        double now = 100_000;
        final double bootAt = now + WARM_UP_MS;
        long lastObject;

        Schedule(int directors, long seed) {
            this.directors = directors;
            random = new SplittableRandom(seed);
            fallMs = random.nextInt(2) == 0 ? 3_000 : 1_500;
            cache = new Director.ColdRule(
                    random.nextDouble(0.16, 0.49), random.nextDouble(5_700, 21_000), random.nextDouble(2, 4));
            parent = new Director.ColdRule(random.nextDouble(0.06, 0.15), random.nextDouble(12_000, 22_000), 2);
            sizes = random.nextBoolean();
            double most = Math.exp(random.nextDouble(Math.log(4), Math.log(500)));
            perMs = most / (cache.fallMultiple() * fallMs);
            load = random.nextDouble(0.3, 1);
            weight = random.doubles(directors).map(d -> -Math.log(1 - d)).toArray();
            double sum = Arrays.stream(weight).sum();
            for (int i = 0; i < directors; i++) {
                weight[i] /= sum;
            }
            burstsMs = random.nextBoolean() ? 0 : random.nextDouble(2_000, parent.warmAfterMs());
            twoCold = random.nextBoolean();
            restartsPerMs = random.nextBoolean() ? 0 : random.nextDouble(0.2, 2) / 20_000;
            told = new double[directors];
            Arrays.setAll(told, i -> bootAt + random.nextDouble(0, 3_000));
            for (int i = 0; i < directors; i++) {
                benches.add(start(i));
            }
        }

        private Director.Settings settings(int me) {
            Director.RequestClass read = new Director.RequestClass(
                    Director.Effect.SAFE, Director.Scope.ALL, 0, 400, 2, 5_000, 1, 0.2, false, false, false, 0, 0, 0.7);
            return new Director.Settings(
                    List.of(read),
                    me,
                    directors,
                    1,
                    List.of(0, directors),
                    Bench.PARENT,
                    Bench.ORIGIN,
                    sizes,
                    false,
                    0,
                    Bench.TICK,
                    8,
                    1_000,
                    cache,
                    parent,
                    fallMs,
                    500,
                    6_000,
                    true,
                    true,
                    Director.Siblings.NONE,
                    Director.Notes.HIT,
                    PACE_KB_PER_MS,
                    Director.Reports.NONE,
                    List.of(),
                    6,
                    false,
                    true,
                    false,
                    false,
                    500);
        }

        private Bench start(int me) {
            Bench bench = new Bench(settings(me), random.nextLong());
            bench.now = now;
            boolean knows = now >= told[me];
            bench.tell(new Director.Members(ListKind.CACHED, nodes(knows)));
            return bench;
        }

        private List<Node> nodes(boolean knows) {
            List<Node> nodes = new ArrayList<>();
            double size = perMs * MEAN_WORK_MS;
            for (int i = 1; i <= CACHES; i++) {
                boolean cold = knows && (i == COLD_CACHE || twoCold && i == OTHER_COLD_CACHE);
                nodes.add(new Node(i, 1, Bench.CACHE, 0, State.READY, size, cold ? bootAt : 0));
            }
            nodes.add(new Node(COLD_PARENT, 0, Bench.PARENT, 0, State.READY, 2 * size, knows ? bootAt : 0));
            nodes.add(new Node(12, 0, Bench.PARENT, 0, State.READY, 2 * size, 0));
            nodes.add(new Node(20, 0, Bench.ORIGIN, 0, State.READY, 1, 0));
            return nodes;
        }

        /** Returns the factor of the mean traffic: with bursts 0, and 4 in the last quarter of each period. */
        private double swing() {
            return burstsMs == 0 ? 1 : now % burstsMs < 0.75 * burstsMs ? 0 : 4;
        }

        private int poisson(double mean) {
            int count = 0;
            for (double p = random.nextDouble(); p > Math.exp(-mean); p *= random.nextDouble()) {
                count++;
            }
            return count;
        }

        /**
         * Plays the schedule. Returns the highest load of a cold node in a span as a share of its bound, and adds the
         * share of its budget that was used in all to {@code used}, for the cache and for the parent.
         */
        double play(double[] used) {
            Span toCache = new Span(cache, perMs);
            Span toParent = new Span(parent, 2 * perMs);
            double end = bootAt + Math.max(cache.warmAfterMs(), parent.warmAfterMs());
            for (; now < end; now += STEP_MS) {
                for (int me = 0; me < directors; me++) {
                    if (random.nextDouble() < restartsPerMs * STEP_MS) {
                        benches.set(me, start(me));
                    }
                    Bench bench = benches.get(me);
                    bench.now = now;
                    if (now >= told[me] && now - told[me] < STEP_MS) {
                        bench.tell(new Director.Members(ListKind.DELTA, nodes(true)));
                    }
                    boolean knows = now >= told[me];
                    int calls = poisson(weight[me] * load * CACHES * perMs * swing() * STEP_MS);
                    for (int i = 0; i < calls; i++) {
                        Get get = first(bench);
                        if (get != null && knows) {
                            toCache.add(get.node() == COLD_CACHE);
                            toParent.add(get.node() == COLD_PARENT || get.source() == COLD_PARENT);
                        }
                        if (get != null) {
                            bench.outcome(get, 0, Result.OK, Note.FILLED);
                        }
                    }
                }
                toCache.step();
                toParent.step();
            }
            used[0] += toCache.used();
            used[1] += toParent.used();
            return Math.max(toCache.worst, toParent.worst);
        }

        private Get first(Bench bench) {
            List<Get> gets = Bench.all(bench.request(0, ++lastObject, 4_000, MEAN_WORK_MS * PACE_KB_PER_MS), Get.class);
            return gets.isEmpty() ? null : gets.get(0);
        }

        /** Compares the calls to a cold node in a sliding span with what the settings allow. */
        private final class Span {
            final Director.ColdRule rule;
            final double perMs;
            final ArrayDeque<Integer> steps = new ArrayDeque<>();
            int inStep;
            int inSpan;
            long all;
            double allowed;
            double worst;

            Span(Director.ColdRule rule, double perMs) {
                this.rule = rule;
                this.perMs = perMs;
            }

            void add(boolean one) {
                inStep += one ? 1 : 0;
            }

            void step() {
                steps.add(inStep);
                inSpan += inStep;
                all += inStep;
                inStep = 0;
                if (steps.size() > fallMs / STEP_MS) {
                    inSpan -= steps.remove();
                }
                double age = now - bootAt;
                if (age < 0 || age >= rule.warmAfterMs()) {
                    return;
                }
                double share = rule.fromShare() + (1 - rule.fromShare()) * age / rule.warmAfterMs();
                double n = rule.fallMultiple() * share * perMs * fallMs;
                allowed += n * STEP_MS / fallMs;
                worst = Math.max(worst, inSpan / (n + 2 * Math.sqrt(n) + 2));
            }

            double used() {
                return all / allowed;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 20, 30, 100})
    void allDirectorsTogetherStayWithinWhatAColdNodeBears(int directors) {
        double worst = 0;
        double[] used = new double[2];
        for (int i = 0; i < SCHEDULES; i++) {
            double one = new Schedule(directors, 1_000L * directors + i).play(used);
            assertTrue(one <= 1, "schedule " + i + " of " + directors + " doormans: " + one + " of the bound");
            worst = Math.max(worst, one);
        }
        System.out.printf(
                "cold ramp, %d doormans: at most %.2f of the bound; budget used: caches %.2f, parents %.2f%n",
                directors, worst, used[0] / SCHEDULES, used[1] / SCHEDULES);
        assertTrue(used[0] > 0.02 * SCHEDULES, "cold caches get hardly any work");
    }
}
