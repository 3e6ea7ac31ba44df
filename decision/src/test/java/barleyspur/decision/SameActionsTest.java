package barleyspur.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import barleyspur.decision.Director.Action;
import barleyspur.decision.Director.Get;
import barleyspur.decision.Director.ListKind;
import barleyspur.decision.Director.Note;
import barleyspur.decision.Director.Result;
import barleyspur.decision.Director.State;
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
 * scored all parents by logarithms and walked all of the list on each change: the checksums are from that version.
 * Guards the rendezvous order over all listed parents and the comparison of a node with its median peer. Log lines
 * are excluded, since nodes that this doorman can't use are no longer logged. A commit that changes decisions and not
 * only their speed changes the checksums and says so.
 */
class SameActionsTest {

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
    private final List<Runnable> out = new ArrayList<>();
    private SplittableRandom random;
    private Decide director;
    private double now = 100_000;
    private int caches;
    private int parents;

    private static Director.Settings settings(boolean sizes, Director.Notes notes) {
        Director.Settings s = Bench.settings();
        return new Director.Settings(
                s.classes(),
                0,
                3,
                1,
                List.of(0, 3, 3),
                Bench.PARENT,
                Bench.ORIGIN,
                sizes,
                false,
                0,
                2,
                8,
                1_000,
                s.coldCache(),
                s.coldParent(),
                1_500,
                500,
                6_000,
                true,
                true,
                s.siblings(),
                notes,
                5,
                s.reports(),
                s.reportFields(),
                6,
                true,
                true,
                true,
                false,
                500);
    }

    private Director.Node node(long id, boolean late) {
        boolean cache = id <= caches;
        State state = random.nextInt(8) == 0 ? State.values()[random.nextInt(3)] : State.READY;
        int kind = cache ? (int) (id % 2) : id <= caches + parents ? Bench.PARENT : Bench.ORIGIN;
        return new Director.Node(
                id,
                cache ? 1 + (int) (id % 2) : 0,
                kind,
                (int) id % 2,
                state,
                0.5 + id % 7,
                late && random.nextInt(3) == 0 ? now : 0);
    }

    private void list(ListKind kind, boolean late) {
        List<Director.Node> nodes = new ArrayList<>();
        for (long id = 1; id <= caches + parents + 1; id++) {
            if (!late || random.nextInt(20) > 0) {
                nodes.add(node(id, late));
            }
        }
        tell(new Director.Members(kind, nodes));
    }

    private void tell(Director.Event event) {
        List<Action> actions = new ArrayList<>();
        director.handle(now, event, actions::add);
        for (Action a : actions) {
            if (!(a instanceof Director.Log)) {
                digest.update(a.toString().getBytes(StandardCharsets.UTF_8));
            }
            if (a instanceof Director.WakeAt w) {
                timers.computeIfAbsent(w.atMs(), k -> new ArrayList<>()).add(w.token());
            } else if (a instanceof Get g) {
                out.add(() -> answer(g));
            }
        }
    }

    private final TreeMap<Long, Integer> attempts = new TreeMap<>();

    private void answer(Get g) {
        Result result = RESULTS[random.nextInt(RESULTS.length)];
        Note note = NOTES[random.nextInt(NOTES.length)];
        tell(new Director.Outcome(
                g.request(),
                attempts.merge(g.request(), 1, Integer::sum) - 1,
                g.node(),
                result,
                random.nextDouble(2_000),
                result == Result.OK,
                note,
                10,
                List.of((float) random.nextDouble())));
    }

    private long play(long seed, boolean sizes, Director.Notes notes) {
        random = new SplittableRandom(seed);
        director = new Decide(settings(sizes, notes), seed);
        list(ListKind.CACHED, false);
        for (int step = 1; step <= STEPS; step++) {
            now += 2 * random.nextInt(10);
            while (!timers.isEmpty() && timers.firstKey() <= now) {
                timers.pollFirstEntry().getValue().forEach(token -> tell(new Director.Alarm(token)));
            }
            int what = random.nextInt(60);
            if (what == 0) {
                list(ListKind.FULL, true);
            } else if (what <= 3) {
                tell(new Director.Members(
                        ListKind.DELTA, List.of(node(1 + random.nextInt(caches + parents + 1), true))));
            } else if (what == 4) {
                tell(new Director.Purged(5, random.nextInt(40), random.nextDouble(400)));
            } else if (what < 34) {
                tell(new Director.Request(
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
            } else if (!out.isEmpty()) {
                out.remove(random.nextInt(out.size())).run();
            }
        }
        return digest.getValue();
    }

    @ParameterizedTest
    @CsvSource({
        "1, 8, 2, false, ALL, 1702455058",
        "2, 8, 3, true, HIT, 771742684",
        "3, 40, 12, true, NONE, 144099395",
        "4, 40, 12, false, HIT, 2749148825",
        "5, 200, 60, true, ALL, 4046850814",
        "6, 200, 60, false, HIT, 2739098317"
    })
    void asBefore(long seed, int caches, int parents, boolean sizes, Director.Notes notes, long checksum) {
        this.caches = caches;
        this.parents = parents;
        assertEquals(checksum, play(seed, sizes, notes));
    }
}
