import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One doorman with sound depots and a few sound clients. With the disruption, bad clients connect at once, send much at
 * once and go. Checked at the sound clients: every request gets its final answer within its time and half a second.
 */
final class FloodCase {
    static final int SECONDS = 30;
    static final int PER_S = 40;
    static final int CLIENTS = 10;
    static final int MAX_OPEN = 32;
    static final int WAIT_MS = 2_500;
    /** Half a second after its time a request is lost; the rules on sockets add 50 ms. */
    static final int LOST_AFTER_MS = WAIT_MS + 550;
    static final int TROUBLE_AT_S = 6;
    static final int BAD_CLIENTS = 60;
    static final int BAD_REQUESTS = 4_000;

    static final AtomicInteger sent = new AtomicInteger();
    static final AtomicInteger held = new AtomicInteger();
    static final AtomicInteger served = new AtomicInteger();
    static final AtomicInteger refused = new AtomicInteger();
    static final AtomicInteger failed = new AtomicInteger();
    static final AtomicInteger connectionLost = new AtomicInteger();
    static final AtomicInteger unanswered = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Rig.play(args, FloodCase::run);
    }

    static void run(Rig rig) throws Exception {
        Site site = Site.kartli();
        Rig.Server handler = (connection, command) -> rig.timer.schedule(
                () -> connection.answer(
                        command.id(),
                        "DONE",
                        "digest=4be0c1927d55a6f3,dated=" + System.currentTimeMillis() + ",how=h",
                        new byte[2_000]),
                20,
                TimeUnit.MILLISECONDS);
        List<String> targets = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Rig.Depot cache = rig.own(rig.new Depot("s-" + i, handler));
            targets.add(Rig.target(cache.uid, cache.port(), "edge-1", "small-box", i, "in_service", 0));
        }
        Rig.Depot parent = rig.own(rig.new Depot("s-10", handler));
        Rig.Depot origin = rig.own(rig.new Depot("s-20", handler));
        targets.add(Rig.target(parent.uid, parent.port(), "central", "parent", 10, "in_service", 0));
        targets.add(Rig.target(origin.uid, origin.port(), "central", "origin", 11, "in_service", 0));
        Rig.Channel channel = rig.own(rig.new Channel(Rig.nodes(1, true, targets)));
        int port = Rig.freePort();
        Path config = rig.temp.resolve("config.json");
        Files.writeString(config, site.config("n0", port, channel.port(), channel.known(), ""));
        Rig.Doorman doorman = rig.new Doorman("n0", port, config, Map.of());
        doorman.awaitReady();

        List<byte[]> floods = new ArrayList<>();
        for (int i = 0; i < BAD_CLIENTS; i++) {
            ByteArrayOutputStream flood = new ByteArrayOutputStream();
            for (int seqid = 1; seqid <= BAD_REQUESTS; seqid++) {
                flood.write(Rig.Client.dispatchFrame(seqid, fields(), new byte[0]));
            }
            floods.add(flood.toByteArray());
        }
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(rig.own(new Rig.Client(port)));
        }
        long startNanos = System.nanoTime();
        CountDownLatch gone = new CountDownLatch(BAD_CLIENTS);
        for (int i = 0; i < SECONDS * PER_S; i++) {
            Rig.sleep((startNanos + i * (1_000_000_000L / PER_S) - System.nanoTime()) / 1_000_000);
            if (rig.trouble && i == TROUBLE_AT_S * PER_S) {
                rig.note(BAD_CLIENTS + " bad clients send " + floods.get(0).length + " bytes each and go");
                floods.forEach(flood -> Rig.daemon("bad client", () -> {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress("127.0.0.1", port), 5_000);
                        socket.getOutputStream().write(flood);
                    } catch (IOException e) {
                        rig.note("a bad client: " + e);
                    }
                    gone.countDown();
                }));
            }
            Rig.Client client = clients.get(i % CLIENTS);
            if (client.ended) {
                client = rig.own(new Rig.Client(port));
                clients.set(i % CLIENTS, client);
            }
            if (client.openRequests() < MAX_OPEN) {
                send(rig, client);
            } else {
                held.incrementAndGet();
            }
        }
        Rig.sleep(LOST_AFTER_MS + 500);
        rig.note("bad clients that have not gone: " + (rig.trouble ? gone.getCount() : 0));
        boolean alive = doorman.process.isAlive();
        boolean answers = false;
        try (Rig.Client client = new Rig.Client(port)) {
            CompletableFuture<Rig.Answer> answer = new CompletableFuture<>();
            client.alive(answer::complete);
            answers = answer.get(5, TimeUnit.SECONDS).kind().equals("served");
        } catch (IOException | TimeoutException e) {
            rig.note("alive at the end: " + e);
        }
        String result = "sent " + sent + ": served " + served + ", refused " + refused + ", failed " + failed
                + ", connection ended without an answer " + connectionLost + ", no answer " + unanswered
                + "; not sent because 32 were open " + held + "; at the end the process is "
                + (alive ? "there" : "gone") + " and alive is " + (answers ? "answered" : "not answered in 5 s");
        boolean broken = connectionLost.get() + unanswered.get() > 0 || !alive;
        rig.end(broken ? Rig.BROKEN : Rig.HELD, result);
    }

    static Map<String, String> fields() {
        return Map.of(
                "c", "small-files", "i", Rig.newId(), "d", Integer.toString(WAIT_MS), "o", Rig.newId(), "seg", "0",
                "bucket", "3", "m", "30", "etag", Rig.newId());
    }

    static void send(Rig rig, Rig.Client client) {
        Map<String, String> fields = fields();
        String id = fields.get("i");
        sent.incrementAndGet();
        rig.note("client sends " + id);
        try {
            int seqid = client.dispatch(fields, new byte[0], answer -> {
                rig.note("client has " + answer.kind() + " for " + id);
                switch (answer.kind()) {
                    case "served" -> served.incrementAndGet();
                    case "refused" -> refused.incrementAndGet();
                    case "lost" -> connectionLost.incrementAndGet();
                    default -> failed.incrementAndGet();
                }
            });
            rig.timer.schedule(
                    () -> {
                        try {
                            if (client.cancel(seqid)) {
                                unanswered.incrementAndGet();
                                rig.note("client has no answer for " + id + " after " + LOST_AFTER_MS + " ms");
                            }
                        } catch (IOException e) {
                            unanswered.incrementAndGet();
                        }
                    },
                    LOST_AFTER_MS,
                    TimeUnit.MILLISECONDS);
        } catch (IOException e) {
            // The request was not written whole, so it was not taken.
            sent.decrementAndGet();
            rig.note("client could not send " + id);
        }
    }
}
