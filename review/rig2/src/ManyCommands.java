import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send many commands at once, for large parts; others go on asking for small files. */
final class ManyCommands extends Case {
    private static final int CACHES = 40;
    private static final int SOCKETS = 1_024;
    private static final int PIPELINING_CLIENTS = 24;
    private static final int OPEN_AT_ONCE = 32;
    private static final int BYTES = 240_000;
    /** What the simulator would count for so many bytes: they take as long at the pace of a transfer. */
    private static final String SIZE_KB = "4490.3";
    private static final int FLOW_BYTES_PER_S = 310_000;
    private static final int PARTS_WAIT_MS = 6_000;
    private static final int SMALL_CLIENTS = 5;
    /** Half of the class's time: a try is given up after 50 to 100% of it. */
    private static final int SMALL_WAIT_MS = 1_250;
    private static final double PLAY_MS = 92_000;

    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean over;

    public static void main(String[] arguments) throws Exception {
        run(new ManyCommands(), arguments);
    }

    @Override
    boolean play() throws Exception {
        byte[] part = new byte[BYTES];
        List<Depot> depots = startDepots(CACHES, attempt -> {
            if (attempt.field("class").equals("video-parts")) {
                attempt.answerPaced(20, "DONE", done("h"), part, FLOW_BYTES_PER_S);
            } else {
                attempt.answer(20, "DONE", done("h"), new byte[2_000]);
            }
        });
        depots.forEach(depot -> depot.recordsCancels = false);
        DoormanProcess doorman = startDoorman(1, SOCKETS);
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            Rig.thread("small", () -> askForSmallFiles(doorman));
        }
        for (int i = 0; trouble && i < PIPELINING_CLIENTS; i++) {
            Client client = new Client(doorman.port, record);
            for (int j = 0; j < OPEN_AT_ONCE; j++) {
                ask(client, "video-parts", PARTS_WAIT_MS, SIZE_KB, true);
            }
        }
        double end = record.ms() + (trouble ? PLAY_MS : 20_000);
        double nextReportMs = 0;
        while (record.ms() < end && lost.get() == 0 && doorman.isAlive()) {
            if (record.ms() > nextReportMs) {
                nextReportMs = record.ms() + 5_000;
                record.say("%s", answers);
            }
            Rig.sleep(100);
        }
        over = true;
        double lastMs = record.ms() + PARTS_WAIT_MS + 2_000;
        while (open.get() > 0 && record.ms() < lastMs) {
            Rig.sleep(100);
        }
        record.say("%s, without any answer %d; the doorman is %s", answers, open.get(), doorman.isAlive() ? "alive" : "dead");
        record.line("the end of the doorman's log:%n%s", doorman.logEnd(40));
        return lost.get() == 0 && open.get() == 0 && doorman.isAlive();
    }

    private void askForSmallFiles(DoormanProcess doorman) throws Exception {
        Client client = new Client(doorman.port, record);
        while (!over) {
            if (client.ended() != null) {
                client = new Client(doorman.port, record);
            }
            if (client.openCount() < OPEN_AT_ONCE) {
                ask(client, "small-files", SMALL_WAIT_MS, "300.0", false);
            }
            Rig.sleep(50);
        }
    }

    /** Sends a request, and if {@code again} the next one once it is answered: at a refusal as late as that says. */
    private void ask(Client client, String className, int waitMs, String sizeKb, boolean again) throws IOException {
        if (over || client.ended() != null) {
            return;
        }
        Map<String, String> request = Client.request(className, Client.newId(), 0, 1, waitMs, sizeKb);
        double sentMs = record.ms();
        open.incrementAndGet();
        client.dispatch(request, new byte[0]).thenAccept(answer -> {
            open.decrementAndGet();
            double ms = answer.atMs() - sentMs;
            boolean isLost = !answer.isWhole() || ms > waitMs + LOST_AFTER_MS;
            record.line("%s %s: %s after %.0f ms%s", className, request.get("i"), answer.kind(), ms, isLost ? ": LOST" : "");
            answers.merge(className + (isLost ? " LOST " : " ") + answer.kind(), 1, Integer::sum);
            lost.addAndGet(isLost ? 1 : 0);
            if (again) {
                double pauseMs = Double.parseDouble(answer.fields().getOrDefault("w", "0"));
                Rig.after(pauseMs, () -> ask(client, className, waitMs, sizeKb, true));
            }
        });
    }
}
