package barleyspur.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.lab.stand.StandBoxes;
import barleyspur.lab.stand.StandChannel;
import barleyspur.lab.stand.StandClients;
import barleyspur.lab.stand.Tally;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONTokener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Several {@code serve} processes of the built jar that end, or meet a box that has just started. Alone on the machine, since
 * each starts many processes at once.
 */
@Isolated
class EndingProcessesTest {

    private static final Path JAR = Path.of("..", "doorman", "target", "barleyspur.jar").toAbsolutePath();
    private static final int PORT = 7001;
    private static final int CACHES = 4;
    private static final int PARENT = CACHES;
    private static final int READY_MS = 60_000;
    /** What the protocol page gives a process after SIGTERM, at the classes' longest deadline. */
    private static final int KILL_MS = 3_700;
    /** Requests on open connections come for so long after SIGTERM. */
    private static final int ASKED_MS = 600;
    private static final String NETWORK = "127." + (225 + ProcessHandle.current().pid() % 25) + ".";

    @TempDir
    Path folder;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<Process> processes = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong(1);
    /** Nodes on the list: caches, then a parent and an origin, and more of these. */
    private int listed = CACHES + 2;
    /** What starts the JVM. */
    private List<String> before = List.of();

    @AfterEach
    void end() {
        processes.forEach(Process::destroyForcibly);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static InetSocketAddress box(int number) {
        return new InetSocketAddress(NETWORK + "250." + (number + 1), PORT);
    }

    private static InetSocketAddress front(int number) {
        return new InetSocketAddress(NETWORK + "251." + (number + 1), PORT);
    }

    private static JSONObject target(int number, double size, double bootMs) {
        String model = number < CACHES ? "cache" : number == PARENT ? "parent" : "origin";
        return new JSONObject().put("uid", "s-" + (number + 1)).put("endpoint", box(number).getHostString() + ":" + PORT)
            .put("az", "central").put("model", model).put("pod_group", 0).put("state", "in_service")
            .put("capacity_hint", size).put("boot_ms", bootMs);
    }

    /** Caches, a parent and an origin, which answer what they hold after so long. */
    private StandBoxes boxes(int hitMs) throws InterruptedException {
        StandBoxes boxes = new StandBoxes(group, "record", hitMs, new double[3]);
        for (int i = 0; i < CACHES + 2; i++) {
            boxes.listen(box(i), i < CACHES ? StandBoxes.Kind.CACHE : i == PARENT ? StandBoxes.Kind.PARENT
                : StandBoxes.Kind.ORIGIN);
        }
        return boxes;
    }

    /** Starts so many doormans, all boxes long up. */
    private void start(int doormans, InetSocketAddress channel, double size) throws IOException, InterruptedException {
        JSONArray targets = new JSONArray();
        for (int i = 0; i < listed; i++) {
            targets.put(target(i, size, 0));
        }
        for (int i = 0; i < doormans; i++) {
            JSONObject json = new JSONObject(new JSONTokener(EndingProcessesTest.class.getResourceAsStream(
                "/barleyspur/rehearsal.json")));
            JSONObject settings = json.getJSONObject("settings").put("groupSize", doormans).put("myNumber", i)
                .put("weights", "nominal");
            settings.getJSONObject("familyInfo").put("zoneBalancers", new JSONArray().put(doormans));
            settings.getJSONObject("rules").put("coldMs", COLD_MS).put("fallMs", FALL_MS).put("coldFrom", COLD_FROM)
                .put("tipMultiple", FALL_MULTIPLE);
            json.put("name", "d" + i).put("listen", front(i).getHostString() + ":" + PORT)
                .put("channel", channel.getHostString() + ":" + PORT).put("seed", Integer.toHexString(77 + i))
                .put("known", new JSONObject().put("cursor", 1).put("cmds", new JSONArray().put(new JSONObject()
                    .put("cursor", 1).put("nodes", new JSONObject().put("rev", 1).put("all", true).put("targets", targets)))));
            Path own = Files.createDirectories(folder.resolve("d" + i));
            Path config = Files.writeString(own.resolve("config.json"), json.toString());
            List<String> command = new ArrayList<>(before);
            command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:ActiveProcessorCount=1", "-Xshare:auto", "-Xms24m",
                "-Xmx56m", "-Xss512k", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-jar", JAR.toString(), "serve"));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", own.toString());
            builder.redirectErrorStream(true).redirectOutput(own.resolve("log").toFile());
            processes.add(builder.start());
        }
        for (int i = 0; i < doormans; i++) {
            awaitReady(i);
        }
    }

    private static void awaitReady(int number) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (true) {
            try (Client client = new Client(front(number))) {
                client.send("alive", 1, null);
                assertTrue(client.answer() != null, "doorman " + number + " is not ready");
                return;
            } catch (IOException e) {
                assertTrue(System.nanoTime() < until, "doorman " + number + " never listened");
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }

    /** A client that waits for each answer. */
    private static final class Client implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;
        private final DataOutputStream out;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(socket.getOutputStream());
        }

        void send(String method, int seqid, Map<String, String> fields) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream frame = new DataOutputStream(bytes);
            frame.writeInt(0x80010001);
            text(frame, method);
            frame.writeInt(seqid);
            if (fields != null) {
                frame.writeByte(13);
                frame.writeShort(1);
                frame.writeByte(11);
                frame.writeByte(11);
                frame.writeInt(fields.size());
                for (Map.Entry<String, String> field : fields.entrySet()) {
                    text(frame, field.getKey());
                    text(frame, field.getValue());
                }
            }
            frame.writeByte(0);
            out.writeInt(bytes.size());
            out.write(bytes.toByteArray());
        }

        private static void text(DataOutputStream to, String text) throws IOException {
            to.writeInt(text.length());
            to.write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** The next answer's sequence number; null at the end of the connection, which must not be a reset. */
        Integer answer() throws IOException {
            int first = in.read();
            if (first < 0) {
                return null;
            }
            byte[] frame = new byte[first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedByte() << 8
                | in.readUnsignedByte()];
            in.readFully(frame);
            int nameBytes = frame[7];
            int at = 8 + nameBytes;
            return (frame[at] & 0xFF) << 24 | (frame[at + 1] & 0xFF) << 16 | (frame[at + 2] & 0xFF) << 8 | frame[at + 3] & 0xFF;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /**
     * Asks three at a time for as long as it may, then waits for what is open and for the end of the connection.
     *
     * @return how many were asked, all of which got an answer, once
     */
    private int ask(InetSocketAddress address, long untilNanos) throws IOException {
        try (Client client = new Client(address)) {
            int asked = 0;
            int answered = 0;
            while (true) {
                while (asked - answered < 3 && System.nanoTime() < untilNanos) {
                    long id = ids.getAndIncrement();
                    client.send("dispatch", ++asked, Map.of("c", id % 10 == 0 ? "record" : "files", "i",
                        String.format("%016x", id), "d", "2400", "o", String.format("%016x", id % 97), "seg", "0", "bucket",
                        "1", "m", "100.5"));
                }
                Integer answer = client.answer();
                if (answer == null) {
                    assertEquals(asked, answered, "answers before the end of the connection");
                    return asked;
                }
                answered++;
                assertTrue(answer <= asked, "an answer to what was asked");
            }
        }
    }

    /**
     * Guards restarts: a doorman is ready without anybody else, that is with discovery and all boxes out of reach, and with
     * 200 boxes on its list. What that took of a core is printed: at a fifth of one, 2 s of it are the 10 s that it has.
     */
    @Test
    void aDoormanIsReadyWithoutAnybodyElse() throws Exception {
        listed = 200;
        start(1, new InetSocketAddress(NETWORK + "252.3", PORT), SIZE);
        System.out.printf("ready with 200 boxes and no channel after %.1f s of a core%n",
            processes.get(0).info().totalCpuDuration().orElseThrow().toMillis() / 1e3);
    }

    /** Guards: SIGHUP that the parent ignores can't be taken back by the JVM, so the log says that reloads are off. */
    @Test
    void anIgnoredHangUpIsSaid() throws Exception {
        before = List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        start(1, new InetSocketAddress(NETWORK + "252.4", PORT), SIZE);
        assertTrue(Files.readString(folder.resolve("d0").resolve("log")).contains("SIGHUP is ignored"));
    }

    /** Guards planned restarts: of what comes until 0.6 s after SIGTERM everything is answered, and no connection is reset. */
    @Test
    void aWaveOfSigtermsLeavesNothingUnanswered() throws Exception {
        StandBoxes boxes = boxes(150);
        InetSocketAddress channel = new InetSocketAddress(NETWORK + "252.1", PORT);
        StandChannel.listen(group, channel, 1);
        start(3, channel, SIZE);
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            long term = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
            List<Future<Integer>> asked = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                InetSocketAddress front = front(i);
                Callable<Integer> one = () -> ask(front, term + TimeUnit.MILLISECONDS.toNanos(ASKED_MS));
                for (int j = 0; j < 8; j++) {
                    asked.add(clients.submit(one));
                }
            }
            TimeUnit.NANOSECONDS.sleep(term - System.nanoTime());
            processes.forEach(Process::destroy);
            TimeUnit.MILLISECONDS.sleep(300);
            processes.forEach(Process::destroy);
            int all = 0;
            for (Future<Integer> one : asked) {
                all += one.get(30, TimeUnit.SECONDS);
            }
            for (Process process : processes) {
                assertTrue(process.waitFor(term + TimeUnit.MILLISECONDS.toNanos(KILL_MS) - System.nanoTime(),
                    TimeUnit.NANOSECONDS), "it ends before SIGKILL may come");
            }
            assertTrue(all > 200, "asked: " + all);
            assertTrue(boxes.runsTwice().startsWith("0 "), boxes.runsTwice());
        } finally {
            clients.shutdownNow();
        }
    }

    private static final int DOORMANS = 30;
    private static final double SIZE = 2;
    private static final double COLD_MS = 8_000;
    private static final double FALL_MS = 3_000;
    private static final double COLD_FROM = 0.24;
    private static final double FALL_MULTIPLE = 1;
    private static final double PER_S = 300;
    /** Work of a request of the clients': 100.5 KB at the settings' pace. */
    private static final double WORK_MS = 100.5 / 5;

    /**
     * Guards boxes that have just started against thirty processes that know nothing of one another: in every span of 3 s
     * one gets no more than N calls and 2 root(N) + 2 for chance, N being what the settings allow then; yet it gets some.
     */
    @Test
    void thirtyProcessesStayWithinWhatAColdBoxBears() throws Exception {
        StandBoxes boxes = boxes(3);
        InetSocketAddress channel = new InetSocketAddress(NETWORK + "252.2", PORT);
        StandChannel told = StandChannel.listen(group, channel, 1);
        start(DOORMANS, channel, SIZE);
        List<InetSocketAddress> fronts = new ArrayList<>();
        for (int i = 0; i < DOORMANS; i++) {
            fronts.add(front(i));
        }
        new StandClients(group, List.of(new StandClients.Class("files", 1, 300, 2_500)), fronts, 1).start(PER_S);
        TimeUnit.SECONDS.sleep(4);
        long boot = System.currentTimeMillis();
        Tally cold = boxes.tally(box(0));
        // What was sent before the news has arrived by then.
        cold.watch(boot + 250, boot + (long) COLD_MS);
        told.tell("\"nodes\":" + new JSONObject().put("rev", 2).put("all", false).put("targets",
            new JSONArray().put(target(0, SIZE, boot))));
        TimeUnit.MILLISECONDS.sleep((long) COLD_MS + 100);
        List<Long> times = cold.watchedTimes();
        double worst = 0;
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= FALL_MS) {
                first++;
            }
            double share = COLD_FROM + (1 - COLD_FROM) * (times.get(last) - boot) / COLD_MS;
            double n = FALL_MULTIPLE * share * SIZE / WORK_MS * FALL_MS;
            worst = Math.max(worst, (last - first + 1) / (n + 2 * Math.sqrt(n) + 2));
        }
        System.out.printf("30 processes: %d calls at the cold box, at most %.2f of what it bears in a span%n", times.size(),
            worst);
        assertTrue(worst <= 1, "of what it bears: " + worst);
        assertTrue(times.size() > 20, "the cold box is starved: " + times.size());
    }
}
