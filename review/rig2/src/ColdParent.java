import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A bad client sends requests with sizes out of range and leaves; ten seconds later a district cache restarts. */
final class ColdParent extends Case {
    private static final int CACHES = 4;
    /** Within the limit of 32 open requests on one connection. */
    private static final int BATCH = 30;
    private static final int BATCHES = 10;
    private static final int PAUSE_MS = 100;
    private static final double VIDEO_PER_S = 80;
    private static final double FILES_PER_S = 60;
    private static final double VIDEO_MS = 330;
    private static final double FILES_MS = 55;
    private static final double PACE_KB_PER_MS = 5.8;
    private static final double SIGMA = 0.6;
    /** The share of requests for objects that no cache holds. */
    private static final double NEW_SHARE = 0.34;
    /** The load, as a share of what the deployment is built for, and the room of a parent's link. */
    private static final double LOAD = 0.69;
    private static final double ROOM = 1.1;
    private static final double COLD_FROM = 0.068;
    private static final double COLD_MS = 19_000;
    private static final double FALL_MULTIPLE = 2;
    private static final double FALL_MS = 3_000;

    private static final double FILL_WORK = NEW_SHARE * (VIDEO_PER_S * VIDEO_MS + FILES_PER_S * FILES_MS) / 1000;
    private static final double MEAN_MS = (VIDEO_PER_S * VIDEO_MS + FILES_PER_S * FILES_MS) / (VIDEO_PER_S + FILES_PER_S);
    /** Transfers that the link of one of the two parents carries. */
    private static final double CAPACITY = FILL_WORK / 2 / LOAD * ROOM;

    /** Work that has reached the cold parent. */
    private record Arrival(double ms, double workMs) {}

    private final List<Arrival> arrivals = new ArrayList<>();
    private volatile boolean over;

    public static void main(String[] arguments) throws Exception {
        run(new ColdParent(), arguments);
    }

    private void reach(String parent, String className, String id) {
        if (parent.equals("p-00000021")) {
            synchronized (arrivals) {
                arrivals.add(new Arrival(record.ms(), className.equals("video-parts") ? VIDEO_MS : FILES_MS));
            }
            record.line("%s is asked for %s (%s)", parent, id, className);
        }
    }

    @Override
    boolean play() throws Exception {
        List<Object> list = new ArrayList<>();
        for (int i = 1; i <= CACHES; i++) {
            Set<String> held = ConcurrentHashMap.newKeySet();
            Depot cache = new Depot("s-0000001" + i, Site.STATION, "small-box", record, attempt -> {
                String key = attempt.field("key");
                String part = attempt.field("key") + "/" + attempt.field("part");
                double sendMs = attempt.field("class").equals("video-parts") ? VIDEO_MS / 2 : FILES_MS / 2;
                if (key.startsWith("ff")) {
                    attempt.answer(50, "BROKE", "-", new byte[0]);
                } else if (key.startsWith("00") || held.contains(part)) {
                    attempt.answer(10 + sendMs, "DONE", done("h"), new byte[500]);
                } else if (attempt.field("parent") == null) {
                    attempt.answer(2, "LACK", "-", new byte[0]);
                } else {
                    reach(attempt.field("parent"), attempt.field("class"), attempt.id());
                    held.add(part);
                    attempt.answer(30 + sendMs, "DONE", done("f"), new byte[500]);
                }
            });
            list.add(cache.listing("in_service", i, 2 * (VIDEO_PER_S * VIDEO_MS + FILES_PER_S * FILES_MS) / 1000 / CACHES, 0));
        }
        Depot.Behaviour behindCaches = attempt -> {
            if (attempt.field("key").startsWith("ff")) {
                attempt.answer(50, "BROKE", "-", new byte[0]);
            } else {
                reach(attempt.depot().uid, attempt.field("class"), attempt.id());
                attempt.answer(150, "DONE", done("h"), new byte[500]);
            }
        };
        Depot restarting = new Depot("p-00000021", Site.HUB, "parent", record, behindCaches);
        list.add(restarting.listing("in_service", 11, CAPACITY, 0));
        list.add(new Depot("p-00000022", Site.HUB, "parent", record, behindCaches).listing("in_service", 12, CAPACITY, 0));
        list.add(new Depot("o-00000030", Site.HUB, "origin", record, behindCaches).listing("in_service", 20, 4 * CAPACITY, 0));
        tellList(true, list);
        DoormanProcess doorman = startDoorman(1, 256);
        record.say("a parent's link carries %.1f transfers; mean sending time %.0f ms", CAPACITY, MEAN_MS);
        List<Thread> usual = new ArrayList<>();
        AtomicLong served = new AtomicLong();
        AtomicLong other = new AtomicLong();
        for (int i = 0; i < 10; i++) {
            int seed = i;
            usual.add(Rig.thread("usual", () -> ask(doorman, seed, served, other)));
        }
        AtomicLong bad = new AtomicLong();
        if (trouble) {
            Rig.thread("bad", () -> askBadly(doorman, bad));
        }
        Rig.sleep(12_000);
        synchronized (arrivals) {
            record.say("before the restart: %d fills reached p-00000021 in 12 s", arrivals.size());
            arrivals.clear();
        }
        long bootMs = System.currentTimeMillis();
        double startMs = record.ms();
        tellList(false, List.of(restarting.listing("in_service", 11, CAPACITY, bootMs)));
        record.say("p-00000021 has restarted");
        Rig.sleep(12_000);
        over = true;
        record.say("usual requests served %d, others %d; bad requests %d", served.get(), other.get(), bad.get());
        return judge(startMs);
    }

    /** Compares each span of 3 s that ends with an arrival with what the settings allow in it. */
    private boolean judge(double startMs) {
        List<Arrival> all;
        synchronized (arrivals) {
            all = List.copyOf(arrivals);
        }
        double worst = Double.NEGATIVE_INFINITY;
        String worstText = "no work reached the cold parent";
        for (Arrival last : all) {
            double to = last.ms() - startMs;
            double from = Math.max(0, to - FALL_MS);
            double work = 0;
            int count = 0;
            for (Arrival arrival : all) {
                double ms = arrival.ms() - startMs;
                if (ms >= to - FALL_MS && ms <= to) {
                    work += arrival.workMs();
                    count++;
                }
            }
            // The capacity rises in a line; a span of 3 s counts in full also right after the start.
            double share = COLD_FROM + (1 - COLD_FROM) * (from + to) / 2 / COLD_MS;
            double n = FALL_MULTIPLE * CAPACITY * share * FALL_MS / MEAN_MS;
            double limit = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
            double requests = work / MEAN_MS;
            if (requests / limit > worst) {
                worst = requests / limit;
                worstText = String.format(Locale.ROOT,
                        "in the 3 s up to %.0f ms after its start it was asked %d times, %.1f requests of mean work; N %.1f, limit %.1f",
                        to, count, requests, n, limit);
            }
        }
        record.say("%s", worstText);
        return worst <= 1;
    }

    private void ask(DoormanProcess doorman, int seed, AtomicLong served, AtomicLong other) throws Exception {
        Random random = new Random(seed);
        Client client = new Client(doorman.port, record);
        double next = record.ms() + random.nextDouble() * 100;
        int number = 0;
        while (!over) {
            next += -Math.log(1 - random.nextDouble()) * 1000 / ((VIDEO_PER_S + FILES_PER_S) / 10);
            Rig.sleep(next - record.ms());
            boolean video = random.nextDouble() < VIDEO_PER_S / (VIDEO_PER_S + FILES_PER_S);
            boolean isNew = random.nextDouble() < NEW_SHARE;
            String object = isNew
                    ? String.format("01%06x%08x", seed, number++)
                    : String.format("00%014x", random.nextInt(200) * 2 + (video ? 1 : 0));
            double kb = (video ? VIDEO_MS : FILES_MS) * PACE_KB_PER_MS * Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
            var request = Client.request(
                    video ? "video-parts" : "small-files", object, 0, 1, video ? 6000 : 2500, String.format(Locale.ROOT, "%.1f", kb));
            record.line("a client sends %s (%s, %s KB)", request.get("i"), request.get("c"), request.get("m"));
            client.dispatch(request, new byte[0]).thenAccept(answer -> {
                record.line("request %s: %s", request.get("i"), answer.kind());
                (answer.kind().equals("served") ? served : other).incrementAndGet();
            });
        }
    }

    /** Sends requests whose sizes are out of range and withdraws them all at once, ten times. */
    private void askBadly(DoormanProcess doorman, AtomicLong bad) throws Exception {
        Random random = new Random(99);
        try (Client client = new Client(doorman.port, record)) {
            for (int batch = 0; batch < BATCHES; batch++) {
                byte[][] requests = new byte[BATCH][];
                byte[][] withdrawals = new byte[BATCH][];
                for (int i = 0; i < BATCH; i++) {
                    int seqid = client.nextSeqid();
                    requests[i] = Client.encodeDispatch(seqid, Client.request(i % 2 == 0 ? "video-parts" : "small-files",
                            String.format("ff%014x", random.nextLong() >>> 8), 0, 1, 2000, "1000000.0"), new byte[0]);
                    withdrawals[i] = Client.encodeCancel(client.nextSeqid(), seqid);
                }
                client.send(requests);
                // Its answer shows that the requests have been read.
                client.alive().get(5, TimeUnit.SECONDS);
                client.send(withdrawals);
                bad.addAndGet(BATCH);
                Rig.sleep(PAUSE_MS);
            }
        }
        record.say("the bad client leaves after %d requests", bad.get());
    }
}
