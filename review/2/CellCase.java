import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A keyed class whose repeats are dropped by the depots of one cell. Six caches in three cells; each has room for few
 * requests at once and answers WAIT beyond that. With the disruption, connections are reset under requests that have
 * begun. Checked at the caches: a key runs once, and once an attempt may have run, no further one arrives whole at a
 * depot of another cell.
 */
final class CellCase {
    static final int SECONDS = 40;
    static final int PER_S = 30;
    static final int CELLS = 3;
    static final int PLACES = 1;
    static final int WINDOW_MS = 6_000;
    /** One begun request in so many is cut by a reset. */
    static final int RESET_ONE_IN = 12;

    /** What the depots know about one key. */
    static final class Key {
        /** The cell of the first attempt that may have run, or -1. */
        int begunCell = -1;
        int runs;
        final Set<Integer> seenByCells = ConcurrentHashMap.newKeySet();
    }

    public static void main(String[] args) throws Exception {
        Rig.play(args, CellCase::run);
    }

    static void run(Rig rig) throws Exception {
        Site site = new Site();
        site.grades.add(new Site.Grade("video-part", "repeatable", 600, 1.6, 6000, 2, false, 0, 0, 6000, "all"));
        site.grades.add(new Site.Grade("script-page", "repeatable", 400, 2, 3000, 1, false, 20000, 10000, 6000, "all"));
        site.grades.add(new Site.Grade("call-note", "by_key", 600, 0, 3000, 3, true, 0, 0, WINDOW_MS, "cell"));
        site.mayDuplicate = false;
        site.joins = false;
        site.tells = "all";
        site.lateral = "silent";
        site.drainGraceMs = 500;
        Map<String, Key> keys = new ConcurrentHashMap<>();
        List<String> broken = new ArrayList<>();
        Random random = new Random(1);
        AtomicInteger resets = new AtomicInteger();
        AtomicInteger full = new AtomicInteger();
        List<String> targets = new ArrayList<>();
        // Caches pass a request on to the origin, through the source that the doorman names, and it runs there. The depot
        // that takes it drops a repeat that its cell has seen. Parent and origin take attempts too, as cells of their own.
        for (int i = 0; i < 2 * CELLS + 2; i++) {
            boolean isCache = i < 2 * CELLS;
            int cell = isCache ? i % CELLS : 10 + i;
            int places = isCache ? PLACES : Integer.MAX_VALUE;
            AtomicInteger busy = new AtomicInteger();
            Rig.Depot depot = rig.own(rig.new Depot(isCache ? "s-" + (i + 1) : "s-" + i + "0", (connection, command) -> {
                String key = command.fields().get("once");
                String where = connection.depot().uid + " of cell " + cell;
                synchronized (broken) {
                    checkCell(keys.computeIfAbsent(key, k -> new Key()), key, cell, where, broken);
                }
                if (isCache && !command.fields().containsKey("parent")) {
                    rig.note(where + " has no source for " + key + " id " + command.id() + ": LACK");
                    connection.answer(command.id(), "LACK", "-", new byte[0]);
                    return;
                }
                if (busy.incrementAndGet() > places) {
                    busy.decrementAndGet();
                    full.incrementAndGet();
                    rig.note(where + " is full for " + key + " id " + command.id() + ": WAIT");
                    connection.answer(command.id(), "WAIT", "-", new byte[0]);
                    return;
                }
                boolean repeat;
                boolean cut;
                synchronized (broken) {
                    Key state = keys.get(key);
                    repeat = !state.seenByCells.add(cell);
                    if (!repeat) {
                        state.runs++;
                        if (state.runs > 1) {
                            broken.add("key " + key + " ran " + state.runs + " times");
                        }
                    }
                    if (state.begunCell < 0) {
                        state.begunCell = cell;
                    }
                    cut = rig.trouble && random.nextInt(RESET_ONE_IN) == 0;
                }
                rig.note(where + (repeat ? " drops the repeat of " : " takes and runs ") + key + " id " + command.id());
                rig.timer.schedule(
                        () -> {
                            busy.decrementAndGet();
                            if (cut) {
                                resets.incrementAndGet();
                                rig.note(where + " loses its connection under " + key);
                                connection.reset();
                            } else {
                                connection.answer(
                                        command.id(),
                                        "DONE",
                                        "digest=" + key + ",dated=" + System.currentTimeMillis() + ",how=o",
                                        new byte[200]);
                            }
                        },
                        60,
                        TimeUnit.MILLISECONDS);
            }));
            targets.add(
                    isCache
                            ? Rig.target(depot.uid, depot.port(), "edge-1", "small-box", cell, "in_service", 0)
                            : Rig.target(
                                    depot.uid,
                                    depot.port(),
                                    "central",
                                    i == 2 * CELLS ? "parent" : "origin",
                                    cell,
                                    "in_service",
                                    0));
        }
        Rig.Channel channel = rig.own(rig.new Channel(Rig.nodes(1, true, targets)));
        int port = Rig.freePort();
        Path config = rig.temp.resolve("config.json");
        Files.writeString(config, site.config("n0", port, channel.port(), channel.known(), ""));
        rig.new Doorman("n0", port, config, Map.of()).awaitReady();

        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            clients.add(rig.own(new Rig.Client(port)));
        }
        Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        AtomicInteger sent = new AtomicInteger();
        long startNanos = System.nanoTime();
        for (int i = 0; i < SECONDS * PER_S; i++) {
            Rig.sleep((startNanos + i * (1_000_000_000L / PER_S) - System.nanoTime()) / 1_000_000);
            Rig.Client client = clients.get(i % clients.size());
            if (client.ended) {
                client = rig.own(new Rig.Client(port));
                clients.set(i % clients.size(), client);
            }
            String id = Rig.newId();
            String key = id + Rig.newId();
            Map<String, String> fields = Map.of(
                    "c", "call-note", "i", id, "d", "3000", "k", key, "o", Rig.newId(), "seg", "0", "bucket", "7",
                    "m", "20");
            sent.incrementAndGet();
            rig.note("client sends " + key);
            client.dispatch(fields, new byte[200], answer -> {
                rig.note("client has " + answer.kind() + " for " + key);
                answers.computeIfAbsent(answer.kind(), k -> new AtomicInteger()).incrementAndGet();
            });
        }
        Rig.sleep(4_000);
        rig.note("sent " + sent + ", answers " + answers + ", resets " + resets + ", full " + full + ", broken "
                + broken.size());
        synchronized (broken) {
            broken.forEach(rig::note);
            if (answers.getOrDefault("served", new AtomicInteger()).get() < sent.get() / 2) {
                rig.end(Rig.COULD_NOT_RUN, "fewer than half were served: " + answers);
            }
            if (broken.isEmpty()) {
                rig.end(Rig.HELD, "no key ran twice or left its cell; answers " + answers + ", resets " + resets);
            }
            long twice = broken.stream().filter(text -> text.contains(" ran ")).count();
            rig.end(
                    Rig.BROKEN,
                    twice + " keys ran twice, " + (broken.size() - twice) + " attempts left their cell, of " + sent
                            + " requests; resets " + resets + ", full " + full + ", answers " + answers);
        }
    }

    /** Further attempts go only to depots of the cell of the attempt that may have run. */
    private static void checkCell(Key state, String key, int cell, String where, List<String> broken) {
        if (state.begunCell >= 0 && state.begunCell != cell) {
            broken.add("attempt of key " + key + " at " + where + ", after one that may have run in cell "
                    + state.begunCell);
        }
    }
}
