package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The actual state of a box in a simulation: whether its process runs, its copies, its load and its recent load while
 * cold. A simple model that shows the effects of routing decisions; it does not predict the performance of a box.
 */
final class SimulatedBox {

    /** Maximum number of parts that a box holds. */
    private static final int MAX_COPIES = 4_000;

    /** Load that reached the box while it was cold; {@code startKnown}: its sender knew of the start. */
    private record ColdLoad(double atMs, double workMs, boolean startKnown) {}

    /** A part of an object, the unit of caching. */
    record ObjectPart(long objectId, int partIndex) {}

    final Box box;
    private final double warmAfterMs;
    private final double coldStartShare;
    private final double overloadMultiple;
    private final double overloadSpanMs;
    boolean running = true;
    RoutingEvent.ListedState state = RoutingEvent.ListedState.IN_SERVICE;
    double stateSinceMs;
    /** NaN if the process has been running since before the simulation. */
    double startedAtMs = Double.NaN;

    double hangsUntilMs;
    double slowUntilMs;
    double slowFactor = 1;
    double fullUntilMs;
    double failsUntilMs;
    double failShare;
    int activeRequests;
    /** Incremented when the process ends; attempts sent to an earlier process are reset. */
    int processGeneration;

    private final Map<ObjectPart, Double> copyTimesMs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ObjectPart, Double> eldest) {
            return size() > MAX_COPIES;
        }
    };
    /** When the fill in progress of a part completes. */
    final Map<ObjectPart, Double> fillReadyMs = new HashMap<>();

    private final ArrayDeque<ColdLoad> recentColdLoad = new ArrayDeque<>();
    private double startKnownWorkMs;
    private double totalWorkMs;

    SimulatedBox(Box box, RoutingPolicy.Settings settings, RoutingPolicy.ColdRule rule) {
        this.box = box;
        this.warmAfterMs = rule.warmAfterMs();
        this.coldStartShare = rule.fromShare();
        this.overloadMultiple = rule.overloadMultiple();
        this.overloadSpanMs = settings.overloadSpanMs();
    }

    void start(double atMs) {
        running = true;
        state = RoutingEvent.ListedState.IN_SERVICE;
        stateSinceMs = atMs;
        startedAtMs = atMs;
        copyTimesMs.clear();
        fillReadyMs.clear();
        recentColdLoad.clear();
        startKnownWorkMs = 0;
        totalWorkMs = 0;
    }

    void stop() {
        running = false;
        processGeneration++;
        activeRequests = 0;
        copyTimesMs.clear();
        fillReadyMs.clear();
    }

    boolean isCold(double nowMs) {
        return !Double.isNaN(startedAtMs) && nowMs - startedAtMs < warmAfterMs;
    }

    private double capacityShareAt(double nowMs) {
        double warmUpProgress = Math.max(0, nowMs - startedAtMs) / warmAfterMs;
        return Double.isNaN(startedAtMs) || warmUpProgress >= 1
                ? 1
                : coldStartShare + (1 - coldStartShare) * warmUpProgress;
    }

    /** Factor by which a transfer takes longer than it would alone in a warm box. */
    double slowdownFactor(double nowMs) {
        double contention =
                Math.max(1, activeRequests / Math.max(0.5, box.concurrentTransfers() * capacityShareAt(nowMs)));
        return contention * (nowMs < slowUntilMs ? slowFactor : 1);
    }

    /** Records load, in ms of sending, while the box is cold; {@code startKnown}: its sender knows of the start. */
    void recordLoad(double nowMs, double workMs, boolean startKnown) {
        if (isCold(nowMs)) {
            recentColdLoad.add(new ColdLoad(nowMs, workMs, startKnown));
            totalWorkMs += workMs;
            startKnownWorkMs += startKnown ? workMs : 0;
        }
    }

    /**
     * Load within the span of the cold-box rule, divided by the load that the rule allows: overload multiple x current
     * capacity x span, plus {@code slackMs} as a tolerance for random arrivals.
     *
     * @param startKnown whether to count only load from doormans that know of the start
     */
    double pressure(double nowMs, boolean startKnown, double slackMs) {
        if (!isCold(nowMs)) {
            return 0;
        }
        while (!recentColdLoad.isEmpty() && recentColdLoad.peek().atMs() < nowMs - overloadSpanMs) {
            ColdLoad expired = recentColdLoad.poll();
            totalWorkMs -= expired.workMs();
            startKnownWorkMs -= expired.startKnown() ? expired.workMs() : 0;
        }
        double budgetMs =
                overloadMultiple * box.concurrentTransfers() * capacityShareAt(nowMs) * overloadSpanMs + slackMs;
        return (startKnown ? startKnownWorkMs : totalWorkMs) / budgetMs;
    }

    void storeCopy(ObjectPart part, double copyTimeMs) {
        copyTimesMs.merge(part, copyTimeMs, Math::max);
    }

    /** When the origin sent the copy that the box holds; NaN if it holds none. */
    double copyTimeMs(ObjectPart part) {
        return copyTimesMs.getOrDefault(part, Double.NaN);
    }

    void dropCopy(ObjectPart part) {
        copyTimesMs.remove(part);
    }

    String activeFault(double nowMs) {
        return nowMs < hangsUntilMs
                ? "hang"
                : nowMs < failsUntilMs ? "fail" : nowMs < fullUntilMs ? "full" : nowMs < slowUntilMs ? "slow" : "none";
    }
}
