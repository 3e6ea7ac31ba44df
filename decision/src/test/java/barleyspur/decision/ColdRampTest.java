package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.ListKind;
import barleyspur.decision.RoutingPolicy.Node;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
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
        final int doormanCount;
        final double overloadSpanMs;
        final RoutingPolicy.ColdRule cache;
        final RoutingPolicy.ColdRule parent;
        final boolean weighBySize;
        /** Calls of mean work that a warm cache can serve in a millisecond; a parent can serve twice that. */
        final double callsPerMs;
        /** The mean traffic, as a share of the capacity of the caches. */
        final double load;
        /** Each doorman's share of the traffic. */
        final double[] weight;
        /** The period of bursts, at most the time until a node is warm; 0: even traffic. */
        final double burstPeriodMs;

        final boolean twoColdCaches;
        final double restartsPerMs;
        final List<PolicyHarness> harnesses = new ArrayList<>();
        /** When the list reports the restarts to each doorman. */
        final double[] listedAtMs;

        double nowMs = 100_000;
        final double bootAtMs = nowMs + WARM_UP_MS;
        long lastObject;

        Schedule(int doormanCount, long seed) {
            this.doormanCount = doormanCount;
            random = new SplittableRandom(seed);
            overloadSpanMs = random.nextInt(2) == 0 ? 3_000 : 1_500;
            cache = new RoutingPolicy.ColdRule(
                    random.nextDouble(0.16, 0.49), random.nextDouble(5_700, 21_000), random.nextDouble(2, 4));
            parent = new RoutingPolicy.ColdRule(random.nextDouble(0.06, 0.15), random.nextDouble(12_000, 22_000), 2);
            weighBySize = random.nextBoolean();
            double budgetCalls = Math.exp(random.nextDouble(Math.log(4), Math.log(500)));
            callsPerMs = budgetCalls / (cache.overloadMultiple() * overloadSpanMs);
            load = random.nextDouble(0.3, 1);
            weight = random.doubles(doormanCount).map(d -> -Math.log(1 - d)).toArray();
            double sum = Arrays.stream(weight).sum();
            for (int i = 0; i < doormanCount; i++) {
                weight[i] /= sum;
            }
            burstPeriodMs = random.nextBoolean() ? 0 : random.nextDouble(2_000, parent.warmAfterMs());
            twoColdCaches = random.nextBoolean();
            restartsPerMs = random.nextBoolean() ? 0 : random.nextDouble(0.2, 2) / 20_000;
            listedAtMs = new double[doormanCount];
            Arrays.setAll(listedAtMs, i -> bootAtMs + random.nextDouble(0, 3_000));
            for (int i = 0; i < doormanCount; i++) {
                harnesses.add(start(i));
            }
        }

        private RoutingPolicy.Settings settings(int doormanIndex) {
            RoutingPolicy.RequestClass read = new RoutingPolicy.RequestClass(
                    RoutingPolicy.Effect.SAFE,
                    RoutingPolicy.Scope.ALL,
                    0,
                    400,
                    2,
                    5_000,
                    1,
                    0.2,
                    false,
                    false,
                    false,
                    0,
                    0,
                    0.7);
            return new RoutingPolicy.Settings(
                    List.of(read),
                    doormanIndex,
                    doormanCount,
                    1,
                    List.of(0, doormanCount),
                    PolicyHarness.PARENT,
                    PolicyHarness.ORIGIN,
                    weighBySize,
                    false,
                    0,
                    PolicyHarness.TICK_MS,
                    8,
                    1_000,
                    cache,
                    parent,
                    overloadSpanMs,
                    500,
                    6_000,
                    true,
                    true,
                    RoutingPolicy.Siblings.NONE,
                    RoutingPolicy.Notes.HIT,
                    PACE_KB_PER_MS,
                    RoutingPolicy.Reports.NONE,
                    List.of(),
                    6,
                    false,
                    true,
                    false,
                    false,
                    500);
        }

        private PolicyHarness start(int doormanIndex) {
            PolicyHarness harness = new PolicyHarness(settings(doormanIndex), random.nextLong());
            harness.nowMs = nowMs;
            boolean listed = nowMs >= listedAtMs[doormanIndex];
            harness.handle(new RoutingPolicy.Members(ListKind.CACHED, nodes(listed)));
            return harness;
        }

        private List<Node> nodes(boolean listed) {
            List<Node> nodes = new ArrayList<>();
            double size = callsPerMs * MEAN_WORK_MS;
            for (int i = 1; i <= CACHES; i++) {
                boolean cold = listed && (i == COLD_CACHE || twoColdCaches && i == OTHER_COLD_CACHE);
                nodes.add(new Node(i, 1, PolicyHarness.CACHE, 0, State.READY, size, cold ? bootAtMs : 0));
            }
            nodes.add(new Node(COLD_PARENT, 0, PolicyHarness.PARENT, 0, State.READY, 2 * size, listed ? bootAtMs : 0));
            nodes.add(new Node(12, 0, PolicyHarness.PARENT, 0, State.READY, 2 * size, 0));
            nodes.add(new Node(20, 0, PolicyHarness.ORIGIN, 0, State.READY, 1, 0));
            return nodes;
        }

        /** Returns the factor of the mean traffic: with bursts 0, and 4 in the last quarter of each period. */
        private double trafficFactor() {
            return burstPeriodMs == 0 ? 1 : nowMs % burstPeriodMs < 0.75 * burstPeriodMs ? 0 : 4;
        }

        private int poisson(double mean) {
            int count = 0;
            for (double product = random.nextDouble(); product > Math.exp(-mean); product *= random.nextDouble()) {
                count++;
            }
            return count;
        }

        /**
         * Plays the schedule. Returns the highest load of a cold node in a span as a share of its bound, and adds the
         * share of its budget that was used in all to {@code used}, for the cache and for the parent.
         */
        double play(double[] used) {
            Span toCache = new Span(cache, callsPerMs);
            Span toParent = new Span(parent, 2 * callsPerMs);
            double end = bootAtMs + Math.max(cache.warmAfterMs(), parent.warmAfterMs());
            for (; nowMs < end; nowMs += STEP_MS) {
                for (int doormanIndex = 0; doormanIndex < doormanCount; doormanIndex++) {
                    if (random.nextDouble() < restartsPerMs * STEP_MS) {
                        harnesses.set(doormanIndex, start(doormanIndex));
                    }
                    PolicyHarness harness = harnesses.get(doormanIndex);
                    harness.nowMs = nowMs;
                    if (nowMs >= listedAtMs[doormanIndex] && nowMs - listedAtMs[doormanIndex] < STEP_MS) {
                        harness.handle(new RoutingPolicy.Members(ListKind.DELTA, nodes(true)));
                    }
                    boolean listed = nowMs >= listedAtMs[doormanIndex];
                    int calls = poisson(weight[doormanIndex] * load * CACHES * callsPerMs * trafficFactor() * STEP_MS);
                    for (int i = 0; i < calls; i++) {
                        Get get = first(harness);
                        if (get != null && listed) {
                            toCache.add(get.node() == COLD_CACHE);
                            toParent.add(get.node() == COLD_PARENT || get.source() == COLD_PARENT);
                        }
                        if (get != null) {
                            harness.outcome(get, 0, Result.OK, Note.FILLED);
                        }
                    }
                }
                toCache.step();
                toParent.step();
            }
            used[0] += toCache.used();
            used[1] += toParent.used();
            return Math.max(toCache.worstShare, toParent.worstShare);
        }

        private Get first(PolicyHarness harness) {
            List<Get> gets = PolicyHarness.actionsOf(
                    harness.request(0, ++lastObject, 4_000, MEAN_WORK_MS * PACE_KB_PER_MS), Get.class);
            return gets.isEmpty() ? null : gets.get(0);
        }

        /** Compares the calls to a cold node in a sliding span with what the settings allow. */
        private final class Span {
            final RoutingPolicy.ColdRule rule;
            final double callsPerMs;
            final ArrayDeque<Integer> steps = new ArrayDeque<>();
            int inStep;
            int inSpan;
            long total;
            double allowed;
            double worstShare;

            Span(RoutingPolicy.ColdRule rule, double callsPerMs) {
                this.rule = rule;
                this.callsPerMs = callsPerMs;
            }

            void add(boolean counts) {
                inStep += counts ? 1 : 0;
            }

            void step() {
                steps.add(inStep);
                inSpan += inStep;
                total += inStep;
                inStep = 0;
                if (steps.size() > overloadSpanMs / STEP_MS) {
                    inSpan -= steps.remove();
                }
                double ageMs = nowMs - bootAtMs;
                if (ageMs < 0 || ageMs >= rule.warmAfterMs()) {
                    return;
                }
                double share = rule.fromShare() + (1 - rule.fromShare()) * ageMs / rule.warmAfterMs();
                double allowedCalls = rule.overloadMultiple() * share * callsPerMs * overloadSpanMs;
                allowed += allowedCalls * STEP_MS / overloadSpanMs;
                worstShare = Math.max(worstShare, inSpan / (allowedCalls + 2 * Math.sqrt(allowedCalls) + 2));
            }

            double used() {
                return total / allowed;
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 20, 30, 100})
    void allDoormansTogetherStayWithinAColdNodesBudget(int doormanCount) {
        double worst = 0;
        double[] used = new double[2];
        for (int i = 0; i < SCHEDULES; i++) {
            double share = new Schedule(doormanCount, 1_000L * doormanCount + i).play(used);
            assertTrue(share <= 1, "schedule " + i + " of " + doormanCount + " doormans: " + share + " of the bound");
            worst = Math.max(worst, share);
        }
        System.out.printf(
                "cold ramp, %d doormans: at most %.2f of the bound; budget used: caches %.2f, parents %.2f%n",
                doormanCount, worst, used[0] / SCHEDULES, used[1] / SCHEDULES);
        assertTrue(used[0] > 0.02 * SCHEDULES, "cold caches get hardly any work");
    }
}
