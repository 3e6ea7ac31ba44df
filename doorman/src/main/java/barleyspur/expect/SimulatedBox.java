package barleyspur.expect;

import barleyspur.decision.Director;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A box as it is in truth: whether it runs, what it holds, how full it is, and how much has reached it while cold.
 * A rough likeness: it shows what decisions lead to, not how fast a box is.
 */
final class SimulatedBox {

    /** Parts that a box keeps at most. */
    private static final int MAX_COPIES = 4_000;

    private record ColdLoad(double atMs, double workMs, boolean startKnown) {}

    /** A part of an object. */
    record ObjectPart(long objectId, int partIndex) {}

    final Box box;
    private final double warmAfterMs;
    private final double coldStartShare;
    private final double overloadMultiple;
    private final double overloadSpanMs;
    boolean running = true;
    RoutingEvent.ListedState state = RoutingEvent.ListedState.IN_SERVICE;
    double stateSinceMs;
    /** NaN where it has run since long ago. */
    double startedAtMs = Double.NaN;

    double hangsUntilMs;
    double slowUntilMs;
    double slowFactor = 1;
    double fullUntilMs;
    double failsUntilMs;
    double failShare;
    int activeRequests;
    /** What is told to come back as reset when the process ends: grows with each end. */
    int processGeneration;

    private final Map<ObjectPart, Double> copyTimesMs = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ObjectPart, Double> eldest) {
            return size() > MAX_COPIES;
        }
    };
    /** When a fill that is under way will be there, by part. */
    final Map<ObjectPart, Double> fillReadyMs = new HashMap<>();

    private final ArrayDeque<ColdLoad> recentColdLoad = new ArrayDeque<>();
    private double startKnownWorkMs;
    private double totalWorkMs;

    SimulatedBox(Box box, Director.Settings settings, Director.ColdRule rule) {
        this.box = box;
        this.warmAfterMs = rule.warmAfterMs();
        this.coldStartShare = rule.fromShare();
        this.overloadMultiple = rule.fallMultiple();
        this.overloadSpanMs = settings.fallSpanMs();
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

    /** How much longer work takes now than alone in a warm box. */
    double slowdownFactor(double nowMs) {
        double contention =
                Math.max(1, activeRequests / Math.max(0.5, box.concurrentTransfers() * capacityShareAt(nowMs)));
        return contention * (nowMs < slowUntilMs ? slowFactor : 1);
    }

    /** Counts what reaches it, in ms of sending, while it is cold. */
    void recordLoad(double nowMs, double workMs, boolean startKnown) {
        if (isCold(nowMs)) {
            recentColdLoad.add(new ColdLoad(nowMs, workMs, startKnown));
            totalWorkMs += workMs;
            startKnownWorkMs += startKnown ? workMs : 0;
        }
    }

    /**
     * What came within the rule's span over what the rule allows: multiple x present capacity x span, and for chance
     * {@code slack} more.
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

    /** When the origin gave out the copy that it holds; NaN where it holds none. */
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
