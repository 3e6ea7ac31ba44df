package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A box as it is in truth: whether it runs, what it holds, how full it is, and how much has reached it while cold.
 * A rough likeness: it shows what decisions lead to, not how fast a box is.
 */
final class Plant {

    /** Parts that a box keeps at most. */
    private static final int MOST_HELD = 4_000;

    private record Work(double atMs, double work, boolean knew) {}

    /** A part of an object. */
    record Part(long object, int part) {}

    final Box box;
    private final double warmAfterMs;
    private final double coldFrom;
    private final double multiple;
    private final double spanMs;
    boolean running = true;
    Moment.Told state = Moment.Told.IN_SERVICE;
    double stateSince;
    /** NaN where it has run since long ago. */
    double startedAt = Double.NaN;

    double hangsUntil;
    double slowUntil;
    double slowBy = 1;
    double fullUntil;
    double failsUntil;
    double failShare;
    int inside;
    /** What is told to come back as reset when the process ends: grows with each end. */
    int life;

    private final Map<Part, Double> held = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Part, Double> eldest) {
            return size() > MOST_HELD;
        }
    };
    /** When a fill that is under way will be there, by part. */
    final Map<Part, Double> filling = new HashMap<>();

    private final ArrayDeque<Work> reached = new ArrayDeque<>();
    private double knownWork;
    private double allWork;

    Plant(Box box, RoutingPolicy.Settings settings, RoutingPolicy.ColdRule rule) {
        this.box = box;
        this.warmAfterMs = rule.warmAfterMs();
        this.coldFrom = rule.fromShare();
        this.multiple = rule.overloadMultiple();
        this.spanMs = settings.overloadSpanMs();
    }

    void start(double atMs) {
        running = true;
        state = Moment.Told.IN_SERVICE;
        stateSince = atMs;
        startedAt = atMs;
        held.clear();
        filling.clear();
        reached.clear();
        knownWork = 0;
        allWork = 0;
    }

    void stop() {
        running = false;
        life++;
        inside = 0;
        held.clear();
        filling.clear();
    }

    boolean cold(double now) {
        return !Double.isNaN(startedAt) && now - startedAt < warmAfterMs;
    }

    private double shareAt(double now) {
        double age = Math.max(0, now - startedAt) / warmAfterMs;
        return Double.isNaN(startedAt) || age >= 1 ? 1 : coldFrom + (1 - coldFrom) * age;
    }

    /** How much longer work takes now than alone in a warm box. */
    double stretch(double now) {
        double registry = Math.max(1, inside / Math.max(0.5, box.size() * shareAt(now)));
        return registry * (now < slowUntil ? slowBy : 1);
    }

    /** Counts what reaches it, in ms of sending, while it is cold. */
    void reach(double now, double work, boolean knew) {
        if (cold(now)) {
            reached.add(new Work(now, work, knew));
            allWork += work;
            knownWork += knew ? work : 0;
        }
    }

    /**
     * What came within the rule's span over what the rule allows: multiple x present capacity x span, and for chance
     * {@code slack} more.
     */
    double pressure(double now, boolean knew, double slack) {
        if (!cold(now)) {
            return 0;
        }
        while (!reached.isEmpty() && reached.peek().atMs() < now - spanMs) {
            Work w = reached.poll();
            allWork -= w.work();
            knownWork -= w.knew() ? w.work() : 0;
        }
        double budget = multiple * box.size() * shareAt(now) * spanMs + slack;
        return (knew ? knownWork : allWork) / budget;
    }

    void keep(Part part, double datedMs) {
        held.merge(part, datedMs, Math::max);
    }

    /** When the origin gave out the copy that it holds; NaN where it holds none. */
    double dated(Part part) {
        return held.getOrDefault(part, Double.NaN);
    }

    void drop(Part part) {
        held.remove(part);
    }

    String fault(double now) {
        return now < hangsUntil
                ? "hang"
                : now < failsUntil ? "fail" : now < fullUntil ? "full" : now < slowUntil ? "slow" : "none";
    }
}
