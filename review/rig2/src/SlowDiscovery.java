import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A release tells that many depots drain, over a command channel that is slow. */
final class SlowDiscovery extends Case {
    private static final String DRAINED = "s-00000011";
    private static final int OTHERS = 100;
    private static final int REPLACED = 60;
    private static final int CHANNEL_BYTES_PER_S = 3_000;
    /** Whatever the command channel has to tell counts as told no later than 7 s on. */
    private static final double TOLD_MS = 7_000;
    private static final double DRAIN_GRACE_MS = 2_000;
    private static final double SLACK_MS = 50;

    private volatile boolean over;

    public static void main(String[] arguments) throws Exception {
        run(new SlowDiscovery(), arguments);
    }

    @Override
    boolean play() throws Exception {
        ConcurrentLinkedQueue<Double> sends = new ConcurrentLinkedQueue<>();
        List<Depot> depots = startDepots(4, attempt -> {
            record.line("%s is asked for %s", attempt.depot().uid, attempt.id());
            if (attempt.depot().uid.equals(DRAINED)) {
                sends.add(record.ms());
            }
            attempt.answer(20, "DONE", done("h"), body(attempt.field("key"), attempt.field("part"), 2_000));
        });
        List<Object> others = new ArrayList<>();
        for (int i = 0; i < OTHERS; i++) {
            others.add(other(i, "in_service"));
        }
        tellList(false, others);
        DoormanProcess doorman = startDoorman(2, 256);
        Rig.thread("usual", () -> ask(doorman));
        Rig.sleep(3_000);
        if (sends.isEmpty()) {
            throw new CouldNotRunException("nothing was sent to " + DRAINED + " before it drains");
        }
        if (trouble) {
            channel.bytesPerS = CHANNEL_BYTES_PER_S;
            record.say("the command channel writes at most %d bytes a second", CHANNEL_BYTES_PER_S);
        }
        List<Object> changes = new ArrayList<>();
        for (int i = 0; i < REPLACED; i++) {
            changes.add(other(i, "terminating"));
        }
        changes.add(depots.get(0).listing("terminating", 1, 20, 0));
        double toldMs = record.ms();
        tellList(false, changes);
        record.say("%s and %d others drain; the event has %d bytes", DRAINED, REPLACED, Json.write(changes).length());
        Rig.sleep(25_000);
        over = true;
        double limitMs = TOLD_MS + DRAIN_GRACE_MS + SLACK_MS;
        long late = sends.stream().filter(ms -> ms - toldMs > limitMs).count();
        double last = sends.stream().mapToDouble(ms -> ms - toldMs).max().orElse(0);
        record.say("%d requests were sent to %s later than %.0f ms after the event; the last at %.0f ms", late, DRAINED, limitMs, last);
        return late == 0;
    }

    /** Returns the entry of a depot of another station, which this doorman never uses. */
    private static Object other(int number, String state) {
        return Json.map(
                "uid", String.format("s-%08x", 0x1000 + number), "endpoint", "127.0.0.1:9", "az", Site.OTHER_STATION, "model", "large-box",
                "pod_group", 100 + number, "state", state, "capacity_hint", 20.0, "boot_ms", 0);
    }

    private void ask(DoormanProcess doorman) throws Exception {
        Client client = new Client(doorman.port, record);
        Random random = new Random(1);
        while (!over) {
            var request = Client.request("small-files", String.format("%016x", random.nextInt(1_000_000)), 0, 1, 2500, "300.0");
            record.line("a client sends %s", request.get("i"));
            client.dispatch(request, new byte[0]).thenAccept(answer -> record.line("request %s: %s", request.get("i"), answer.kind()));
            Rig.sleep(25);
        }
    }
}
