package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import barleyspur.decision.RoutingPolicy.Action;
import barleyspur.decision.RoutingPolicy.Get;
import barleyspur.decision.RoutingPolicy.ListKind;
import barleyspur.decision.RoutingPolicy.Note;
import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.decision.RoutingPolicy.State;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.zip.CRC32;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the same events lead to the same actions as in a slower reference version, which sorted all peers,
 * scored all parents by logarithms and walked all of the list on each change. The checksums were recorded from that
 * version, and again where a commit changed decisions.
 * Guards the rendezvous order over all listed parents and the comparison of a node with its median peer. Log lines
 * are excluded, since nodes that this doorman can't use are no longer logged. A commit that changes decisions and not
 * only their speed changes the checksums and says so.
 */
class ActionChecksumTest {

    private static final int STEPS = 6_000;
    private static final Result[] RESULTS = {
        Result.OK,
        Result.OK,
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
    private static final Note[] NOTES = {Note.NONE, Note.HIT, Note.FILLED, Note.SOURCE_FAILED, Note.JOINED};

    private final CRC32 digest = new CRC32();
    private final TreeMap<Double, List<Long>> timers = new TreeMap<>();
    private final List<Runnable> unanswered = new ArrayList<>();
    private SplittableRandom random;
    private LeastRecentlyLostPolicy policy;
    private double nowMs = 100_000;
    private int caches;
    private int parents;

    private static RoutingPolicy.Settings settings(boolean sizes, RoutingPolicy.Notes notes) {
        RoutingPolicy.Settings defaults = PolicyHarness.settings();
        return new RoutingPolicy.Settings(
                defaults.classes(),
                0,
                3,
                1,
                List.of(0, 3, 3),
                PolicyHarness.PARENT,
                PolicyHarness.ORIGIN,
                sizes,
                false,
                0,
                2,
                8,
                1_000,
                defaults.coldCache(),
                defaults.coldParent(),
                1_500,
                500,
                6_000,
                true,
                true,
                defaults.siblings(),
                notes,
                5,
                defaults.reports(),
                defaults.reportFields(),
                6,
                true,
                true,
                true,
                false,
                500);
    }

    private RoutingPolicy.Node node(long id, boolean afterStart) {
        boolean cache = id <= caches;
        State state = random.nextInt(8) == 0 ? State.values()[random.nextInt(3)] : State.READY;
        int kind = cache ? (int) (id % 2) : id <= caches + parents ? PolicyHarness.PARENT : PolicyHarness.ORIGIN;
        return new RoutingPolicy.Node(
                id,
                cache ? 1 + (int) (id % 2) : 0,
                kind,
                (int) id % 2,
                state,
                0.5 + id % 7,
                afterStart && random.nextInt(3) == 0 ? nowMs : 0);
    }

    private void listNodes(ListKind kind, boolean afterStart) {
        List<RoutingPolicy.Node> nodes = new ArrayList<>();
        for (long id = 1; id <= caches + parents + 1; id++) {
            if (!afterStart || random.nextInt(20) > 0) {
                nodes.add(node(id, afterStart));
            }
        }
        handle(new RoutingPolicy.Members(kind, nodes));
    }

    private void handle(RoutingPolicy.Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(nowMs, event, actions::add);
        for (Action action : actions) {
            if (!(action instanceof RoutingPolicy.Log)) {
                digest.update(action.toString().getBytes(StandardCharsets.UTF_8));
            }
            if (action instanceof RoutingPolicy.WakeAt timer) {
                timers.computeIfAbsent(timer.atMs(), k -> new ArrayList<>()).add(timer.token());
            } else if (action instanceof Get get) {
                unanswered.add(() -> answer(get));
            }
        }
    }

    private final TreeMap<Long, Integer> attempts = new TreeMap<>();

    private void answer(Get get) {
        Result result = RESULTS[random.nextInt(RESULTS.length)];
        Note note = NOTES[random.nextInt(NOTES.length)];
        handle(new RoutingPolicy.Outcome(
                get.request(),
                attempts.merge(get.request(), 1, Integer::sum) - 1,
                get.node(),
                result,
                random.nextDouble(2_000),
                result == Result.OK,
                note,
                10,
                List.of((float) random.nextDouble())));
    }

    private long play(long seed, boolean sizes, RoutingPolicy.Notes notes) {
        random = new SplittableRandom(seed);
        policy = new LeastRecentlyLostPolicy(settings(sizes, notes), seed);
        listNodes(ListKind.CACHED, false);
        for (int step = 1; step <= STEPS; step++) {
            nowMs += 2 * random.nextInt(10);
            while (!timers.isEmpty() && timers.firstKey() <= nowMs) {
                timers.pollFirstEntry().getValue().forEach(token -> handle(new RoutingPolicy.Alarm(token)));
            }
            int choice = random.nextInt(60);
            if (choice == 0) {
                listNodes(ListKind.FULL, true);
            } else if (choice <= 3) {
                handle(new RoutingPolicy.Members(
                        ListKind.DELTA, List.of(node(1 + random.nextInt(caches + parents + 1), true))));
            } else if (choice == 4) {
                handle(new RoutingPolicy.Purged(5, random.nextInt(40), random.nextDouble(400)));
            } else if (choice < 34) {
                handle(new RoutingPolicy.Request(
                        step,
                        random.nextInt(4),
                        0,
                        1L + random.nextInt(60),
                        random.nextInt(2),
                        5,
                        500 + random.nextInt(5_000),
                        random.nextInt(2) * 400,
                        false,
                        false));
            } else if (!unanswered.isEmpty()) {
                unanswered.remove(random.nextInt(unanswered.size())).run();
            }
        }
        return digest.getValue();
    }

    @ParameterizedTest
    @CsvSource({
        "1, 8, 2, false, ALL, 1395440255",
        "2, 8, 3, true, HIT, 3047064087",
        "3, 40, 12, true, NONE, 1562143195",
        "4, 40, 12, false, HIT, 98942310",
        "5, 200, 60, true, ALL, 3661814753",
        "6, 200, 60, false, HIT, 3185591637"
    })
    void actionsMatchTheRecordedChecksum(
            long seed, int caches, int parents, boolean sizes, RoutingPolicy.Notes notes, long checksum) {
        this.caches = caches;
        this.parents = parents;
        assertEquals(checksum, play(seed, sizes, notes));
    }
}
