package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.State;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests hundreds of doormans, each with a few requests a second, and one node that has just started. */
class ManyDirectorsTest {

    private static final int DIRECTORS = 200;
    private static final double STEP_MS = 500;
    private static final int SPAN_STEPS = 3;

    private final List<Bench> benches = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(3);
    private long lastObject;

    /** Lets each doorman serve one request in each step of half a second. Returns by step how many use the node. */
    private int[] sentTo(Predicate<Get> uses, int steps) {
        int[] sent = new int[steps];
        for (int step = 0; step < steps; step++) {
            for (Bench bench : benches) {
                bench.now += STEP_MS * random.nextDouble(0.5, 1.5);
                sent[step] += uses.test(bench.served(bench.get(++lastObject))) ? 1 : 0;
            }
        }
        return sent;
    }

    private void start() {
        for (int me = 0; me < DIRECTORS; me++) {
            benches.add(new Bench(Bench.settings(me, DIRECTORS)).list(4));
        }
        sentTo(get -> true, 40);
    }

    /**
     * Checks that in each span all doormans together send the cold node no more than its budget, given that a warm
     * node serves what its peers did, and that some work reaches the node.
     */
    private void staysWithinItsBudget(long node, int kind, Predicate<Get> uses, Director.ColdRule rule, int peers) {
        start();
        benches.forEach(bench -> bench.change(Bench.node(node, kind, State.READY, bench.now)));
        int[] sent = sentTo(uses, 28);
        double warm = (double) DIRECTORS / peers * SPAN_STEPS;
        int all = 0;
        for (int from = 0; from + SPAN_STEPS <= sent.length; from++) {
            int inSpan = sent[from] + sent[from + 1] + sent[from + 2];
            double share = rule.fromShare() + (1 - rule.fromShare()) * from * STEP_MS / rule.warmAfterMs();
            double budget = rule.fallMultiple() * share * warm;
            assertTrue(inSpan <= budget, "from step " + from + ": " + inSpan + " requests, budget " + budget);
            all += inSpan;
        }
        assertTrue(all > 0, "no request reached the cold node");
    }

    @Test
    void aColdParentStaysWithinItsBudget() {
        staysWithinItsBudget(
                11, Bench.PARENT, get -> get.source() == 11, Bench.settings().coldParent(), 2);
    }

    @Test
    void aColdCacheStaysWithinItsBudget() {
        staysWithinItsBudget(
                1, Bench.CACHE, get -> get.node() == 1, Bench.settings().coldCache(), 4);
    }
}
