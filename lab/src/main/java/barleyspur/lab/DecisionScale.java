package barleyspur.lab;

import barleyspur.decision.LeastRecentlyLostPolicy;
import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the processor cost of the decision module by the number of boxes: for a full node list, a change of one
 * node, and a request with the outcome of its attempt.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionScale {

    private static final int BOXES_PER_STATION = 8;
    private static final int BOXES_PER_PARENT = 24;
    private static final int PARENT_KIND = 2;
    private static final int ORIGIN_KIND = 3;
    private static final int OBJECT_COUNT = 3_000;

    /** Total number of caches: 8 for each station, and one parent for every 24. */
    @Param({"12", "1000", "10000"})
    private int boxes;

    private RoutingPolicy policy;
    private List<RoutingPolicy.Node> nodes;
    private final List<RoutingPolicy.Action> actions = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(4);
    private double nowMs = 1_000_000;
    private long lastRequestId;
    private int changedIndex;

    private static RoutingPolicy.RequestClass createRequestClass(double freshMs) {
        return new RoutingPolicy.RequestClass(
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
                freshMs,
                0,
                0.7);
    }

    static RoutingPolicy.Settings createSettings(int stations) {
        List<Integer> perZone = new ArrayList<>(List.of(0));
        for (int i = 0; i < stations; i++) {
            perZone.add(3);
        }
        return new RoutingPolicy.Settings(
                List.of(createRequestClass(0), createRequestClass(8_000)),
                0,
                3 * stations,
                1,
                perZone,
                PARENT_KIND,
                ORIGIN_KIND,
                true,
                false,
                0,
                2,
                8,
                2_000,
                new RoutingPolicy.ColdRule(0.24, 17_000, 3),
                new RoutingPolicy.ColdRule(0.068, 19_000, 2),
                3_000,
                1_000,
                6_000,
                true,
                true,
                RoutingPolicy.Siblings.ANY,
                RoutingPolicy.Notes.HIT,
                5.8,
                RoutingPolicy.Reports.WITH_PROBES,
                List.of("load_share"),
                8,
                true,
                true,
                true,
                false,
                1_000);
    }

    /** Creates the full node list: the caches, their parents and one origin. */
    static List<RoutingPolicy.Node> createNodes(int boxes) {
        int stations = Math.max(1, boxes / BOXES_PER_STATION);
        int parents = Math.max(2, boxes / BOXES_PER_PARENT);
        List<RoutingPolicy.Node> nodes = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            nodes.add(createNode(i, 1 + i / BOXES_PER_STATION % stations, i % 2, 4 + i % 5));
        }
        for (int i = 0; i < parents; i++) {
            nodes.add(createNode(boxes + i, 0, PARENT_KIND, 20 + i % 3));
        }
        nodes.add(createNode(boxes + parents, 0, ORIGIN_KIND, 50));
        return nodes;
    }

    private static RoutingPolicy.Node createNode(long id, int zone, int kind, double size) {
        return new RoutingPolicy.Node(id + 1, zone, kind, 0, RoutingPolicy.State.READY, size, 0);
    }

    /** Creates a routing policy that has received the full node list. */
    @Setup
    public void setUp() {
        nodes = createNodes(boxes);
        policy = new LeastRecentlyLostPolicy(createSettings(Math.max(1, boxes / BOXES_PER_STATION)), 1);
        full();
    }

    /** Passes the full node list without any change. */
    @Benchmark
    public int full() {
        return handle(new RoutingPolicy.Members(RoutingPolicy.ListKind.FULL, nodes));
    }

    /** Passes a list update with one node, which is unchanged. */
    @Benchmark
    public int delta() {
        changedIndex = (changedIndex + 7) % nodes.size();
        return handle(new RoutingPolicy.Members(RoutingPolicy.ListKind.DELTA, List.of(nodes.get(changedIndex))));
    }

    /** Passes a request and then the outcome of its first attempt. */
    @Benchmark
    public int requestWithOutcome() {
        nowMs += 4;
        long id = ++lastRequestId;
        handle(new RoutingPolicy.Request(
                id, (int) (id % 2), 0, 1 + random.nextInt(OBJECT_COUNT), 0, 5, 4_000, 400, false, false));
        for (RoutingPolicy.Action action : actions) {
            if (action instanceof RoutingPolicy.Get get) {
                return handle(new RoutingPolicy.Outcome(
                        id, 0, get.node(), RoutingPolicy.Result.OK, 50, true, RoutingPolicy.Note.FILLED, 0, List.of()));
            }
        }
        return 0;
    }

    private int handle(RoutingPolicy.Event event) {
        actions.clear();
        policy.handle(nowMs, event, actions::add);
        return actions.size();
    }
}
