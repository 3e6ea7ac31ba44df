package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.State;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests hundreds of doormans, each with a few requests a second, and one node that has just started. */
class ManyPoliciesTest {

    private static final int DOORMANS = 200;
    private static final double STEP_MS = 500;
    private static final int SPAN_STEPS = 3;

    private final List<PolicyHarness> harnesses = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(3);
    private long lastObject;

    /** Lets each doorman serve one request in each step of half a second. Returns by step how many use the node. */
    private int[] countUses(Predicate<Get> uses, int steps) {
        int[] sent = new int[steps];
        for (int step = 0; step < steps; step++) {
            for (PolicyHarness harness : harnesses) {
                harness.nowMs += STEP_MS * random.nextDouble(0.5, 1.5);
                sent[step] += uses.test(harness.serve(harness.get(++lastObject))) ? 1 : 0;
            }
        }
        return sent;
    }

    private void start() {
        for (int doormanIndex = 0; doormanIndex < DOORMANS; doormanIndex++) {
            harnesses.add(new PolicyHarness(PolicyHarness.settings(doormanIndex, DOORMANS)).listNodes(4));
        }
        countUses(get -> true, 40);
    }

    /**
     * Checks that in each span all doormans together send the cold node no more than its budget, given that a warm
     * node serves what its peers did, and that some work reaches the node.
     */
    private void assertStaysWithinItsBudget(
            long node, int kind, Predicate<Get> uses, RoutingPolicy.ColdRule rule, int peers) {
        start();
        harnesses.forEach(harness -> harness.changeNodes(PolicyHarness.node(node, kind, State.READY, harness.nowMs)));
        int[] sent = countUses(uses, 28);
        double warm = (double) DOORMANS / peers * SPAN_STEPS;
        int all = 0;
        for (int from = 0; from + SPAN_STEPS <= sent.length; from++) {
            int inSpan = sent[from] + sent[from + 1] + sent[from + 2];
            double share = rule.fromShare() + (1 - rule.fromShare()) * from * STEP_MS / rule.warmAfterMs();
            double budget = rule.overloadMultiple() * share * warm;
            assertTrue(inSpan <= budget, "from step " + from + ": " + inSpan + " requests, budget " + budget);
            all += inSpan;
        }
        assertTrue(all > 0, "no request reached the cold node");
    }

    @Test
    void aColdParentStaysWithinItsBudget() {
        assertStaysWithinItsBudget(
                11,
                PolicyHarness.PARENT,
                get -> get.source() == 11,
                PolicyHarness.settings().coldParent(),
                2);
    }

    @Test
    void aColdCacheStaysWithinItsBudget() {
        assertStaysWithinItsBudget(
                1,
                PolicyHarness.CACHE,
                get -> get.node() == 1,
                PolicyHarness.settings().coldCache(),
                4);
    }
}
