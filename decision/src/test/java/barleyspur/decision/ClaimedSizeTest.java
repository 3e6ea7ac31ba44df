package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.Gone;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what the sizes that clients name can change beyond their own requests. Guards against the budget of a cold node
 * that was void for good after a client had named sizes out of range, and withdrawn its requests.
 */
class ClaimedSizeTest {

    private static final double PACE_KB_PER_MS = 5;
    private static final double MEAN_MS = 100;
    private static final double INTERVAL_MS = 10;
    private static final double TEN_SECONDS_MS = 10_000;
    private static final double SPAN_MS = 3_000;
    private static final int PARENT = 11;
    private static final int PARENTS = 2;

    private final PolicyHarness harness = new PolicyHarness(PolicyHarness.settings()).listNodes(4);
    private long lastObject;

    /** Sends one usual request for a new object, which is served as a fill, and returns its attempt. */
    private Get sendUsual() {
        harness.nowMs += INTERVAL_MS;
        List<Get> gets =
                PolicyHarness.actionsOf(harness.request(0, ++lastObject, 4_000, MEAN_MS * PACE_KB_PER_MS), Get.class);
        if (gets.isEmpty()) {
            return null;
        }
        harness.outcome(gets.get(0), 0, Result.OK, Note.FILLED, 2 * MEAN_MS);
        return gets.get(0);
    }

    private int parentRequests(double durationMs) {
        int count = 0;
        for (double end = harness.nowMs + durationMs; harness.nowMs < end; ) {
            Get get = sendUsual();
            count += get != null && (get.source() == PARENT || get.node() == PARENT) ? 1 : 0;
        }
        return count;
    }

    private List<Get> sendClaim(double sizeKb) {
        return PolicyHarness.actionsOf(harness.request(0, ++lastObject, 2_000, sizeKb), Get.class);
    }

    private void sendAndWithdraw(double sizeKb) {
        List<Get> gets = sendClaim(sizeKb);
        gets.forEach(get -> {
            harness.handle(new Gone(get.request()));
            harness.outcome(get, 0, Result.CANCELLED, Note.NONE, 1);
        });
    }

    /** Restarts a parent and asserts that it gets no more than the rule on cold nodes allows in its first span. */
    private void assertColdParentIsSpared() {
        harness.changeNodes(PolicyHarness.node(PARENT, PolicyHarness.PARENT, State.READY, harness.nowMs));
        int calls = parentRequests(SPAN_MS);
        double share = 0.06 + (1 - 0.06) * SPAN_MS / 2 / 20_000;
        double allowed = 2 * share * SPAN_MS / INTERVAL_MS / PARENTS;
        double limit = allowed + 3 * Math.sqrt(allowed) + 3;
        assertTrue(calls <= limit, "the cold parent was asked " + calls + " times, allowed " + limit);
        assertTrue(calls > 0, "the cold parent gets some work");
    }

    @Test
    void coldParentIsSparedByUsualTraffic() {
        parentRequests(3 * TEN_SECONDS_MS);
        assertColdParentIsSpared();
    }

    /** Guards against claims of withdrawn requests in the estimate of work and in the peak of the throughput. */
    @ParameterizedTest
    @ValueSource(doubles = {1_000_000, 100_000, 0.001})
    void withdrawnSizesDoNotVoidTheBudgetOfANodeThatStartsLater(double sizeKb) {
        parentRequests(TEN_SECONDS_MS);
        for (int i = 0; i < 300; i++) {
            sendAndWithdraw(sizeKb);
            sendUsual();
        }
        parentRequests(TEN_SECONDS_MS);
        assertColdParentIsSpared();
    }

    /** Guards against claims that last: the requests with the sizes are there until the node starts, and answered. */
    @ParameterizedTest
    @ValueSource(doubles = {1_000_000, 100_000, 0.001})
    void answeredSizesOfOneClientDoNotVoidTheBudget(double sizeKb) {
        parentRequests(TEN_SECONDS_MS);
        for (int i = 0; i < 1_000; i++) {
            if (i % 5 == 0) {
                sendClaim(sizeKb).forEach(get -> harness.outcome(get, 0, Result.OK, Note.FILLED, 2 * MEAN_MS));
            }
            sendUsual();
        }
        assertColdParentIsSpared();
    }

    /** Guards against claims that raise the limits for all other requests. */
    @ParameterizedTest
    @ValueSource(doubles = {1_000_000, 0.001})
    void withdrawnSizesDoNotChangeWhatOthersAreAdmittedWith(double sizeKb) {
        parentRequests(TEN_SECONDS_MS);
        RoutingPolicy.Request usual =
                new RoutingPolicy.Request(1, 0, 0, 1, 0, 5, 4_000, MEAN_MS * PACE_KB_PER_MS, false, false);
        double before = harness.policy.priorityOf(usual);
        for (int i = 0; i < 300; i++) {
            sendAndWithdraw(sizeKb);
        }
        assertEquals(before, harness.policy.priorityOf(usual), 0.1);
    }

    /** Sizes vary widely: the estimate is their mean, less what is cut off of the largest. */
    @ParameterizedTest
    @ValueSource(doubles = {0.4, 0.7, 1, 1.2})
    void estimateConvergesToTheMeanOfTheSizes(double sigma) {
        WorkEstimator estimator = new WorkEstimator(PolicyHarness.settings().classes());
        SplittableRandom random = new SplittableRandom(7);
        double sum = 0;
        int samples = 40_000;
        for (int i = 0; i < 2 * samples; i++) {
            double normal =
                    Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
            double workMs = MEAN_MS * Math.exp(sigma * normal - sigma * sigma / 2);
            estimator.addSized(0, workMs, 50 + workMs);
            sum += i < samples ? 0 : estimator.meanMs(0);
        }
        double estimate = sum / samples;
        assertTrue(estimate > 0.9 * MEAN_MS && estimate < 1.05 * MEAN_MS, "sigma " + sigma + ": " + estimate);
    }

    /** A client that has a fifth of all answers moves the estimate by its share, and it recovers. */
    @ParameterizedTest
    @ValueSource(doubles = {1 << 20, 0.001})
    void shareOfOneClientInTheEstimateIsBounded(double sizeKb) {
        WorkEstimator estimator = new WorkEstimator(PolicyHarness.settings().classes());
        for (int i = 0; i < 10_000; i++) {
            boolean claimed = i % 5 == 0;
            estimator.addSized(0, claimed ? sizeKb / PACE_KB_PER_MS : MEAN_MS, 2 * MEAN_MS);
        }
        assertTrue(
                estimator.meanMs(0) > 0.75 * MEAN_MS && estimator.meanMs(0) < 1.25 * MEAN_MS,
                "estimate " + estimator.meanMs(0));
        for (int i = 0; i < 1_000; i++) {
            estimator.addSized(0, MEAN_MS, 2 * MEAN_MS);
        }
        assertEquals(MEAN_MS, estimator.meanMs(0), 1);
    }

    /** A peak that was kept for good would size all later budgets by the busiest moment ever. */
    @Test
    void peakOfTheThroughputAges() {
        WorkEstimator work = new WorkEstimator(PolicyHarness.settings().classes());
        PeerThroughput throughput = new PeerThroughput(TEN_SECONDS_MS);
        double nowMs = 0;
        for (; nowMs < 2 * TEN_SECONDS_MS; nowMs += 1) {
            throughput.add(0, PARENTS, work, nowMs);
        }
        double busy = throughput.peakWorkPerPeer(work, nowMs);
        assertEquals(work.meanMs(0) / PARENTS, busy, busy / 10);
        for (double end = nowMs + PeerThroughput.PEAK_MEMORY_MS / 2; nowMs < end; nowMs += 100) {
            throughput.add(0, PARENTS, work, nowMs);
        }
        assertEquals(busy, throughput.peakWorkPerPeer(work, nowMs), busy / 10, "remembered for some minutes");
        for (double end = nowMs + PeerThroughput.PEAK_MEMORY_MS; nowMs < end; nowMs += 100) {
            throughput.add(0, PARENTS, work, nowMs);
        }
        assertEquals(busy / 100, throughput.peakWorkPerPeer(work, nowMs), busy / 200);
    }
}
