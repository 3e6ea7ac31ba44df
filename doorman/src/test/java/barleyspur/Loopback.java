package barleyspur;

import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.doorman.Clock;
import barleyspur.doorman.SocketPolls;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * One whole doorman on real sockets, with a box, an origin and a command channel that do as the test says, and a clock
 * that the test moves. Its event loop can be held, so that what arrives meanwhile is all there in one turn: crossings are
 * forced, nothing waits for luck.
 */
public final class Loopback implements AutoCloseable {

    /** Longest wait for what must come; no test takes that long unless it fails. */
    static final int PATIENCE_MS = 20_000;
    /** A connect that has not come up by then, after the system has tried it again, waits for the listener to accept. */
    private static final int QUEUED_MS = 1_500;

    private static final String SETTINGS =
            """
        {"areas": ["central"], "flavors": ["cache", "parent", "origin"], "groupSize": 1, "myNumber": 0, "myZone": 0,
         "resolutionMs": 2,
         "grades": [
          {"name": "segment", "promiseMs": 1000, "hardLimitMs": 5000, "repeat": "repeatable"},
          {"name": "order", "promiseMs": 700, "hardLimitMs": 3000, "repeat": "once"},
          {"name": "stamp", "promiseMs": 700, "hardLimitMs": 3000, "repeat": "by_key", "keyTtlMs": 300}],
         "familyInfo": {"midKind": 1, "masterKind": 2, "paceKbPerS": 5000, "passOn": [false, true, true],
          "inParts": [true, false, false], "goodForMs": [0, 0, 0], "staleForMs": [0, 0, 0], "worthWhenOld": [0, 0, 0],
          "zoneBalancers": [1], "joins": true, "passThroughOk": true, "lateral": "any", "tells": "hit",
          "obeyAfterMs": 300, "clearedWithinMs": 6000},
         "limits": {"sendCap": 4, "multiplex": 32, "mayDuplicate": false, "cancel": true, "connectTimeoutMs": 8000,
          "retryAfter": true, "maxRetryAfterMs": 500},
         "rules": {"fallMs": 3000, "answerSlackMs": 8, "drainGraceMs": 1000, "coldFrom": 0.24, "coldMs": 17000,
          "tipMultiple": 3}}
        """;

    public final Peer box;
    public final Peer origin;
    public final Peer channel = new Peer(0);
    public final Node node;
    private final Path file;
    private final JSONObject configuration;
    private final InetSocketAddress address;
    private ManualClock clock;
    private EventLoop loop;

    /** A doorman that serves; {@code change} may change its configuration before it starts. */
    public Loopback(Path folder, Consumer<JSONObject> change) throws Exception {
        this(folder, change, 0);
    }

    /** The same with a box whose listener takes few connections before it accepts them; 0: many. */
    public Loopback(Path folder, Consumer<JSONObject> change, int boxBacklog) throws Exception {
        box = new Peer(boxBacklog);
        origin = new Peer(0);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        JSONArray targets = new JSONArray().put(target("s-1", box, "cache")).put(target("s-2", origin, "origin"));
        configuration = new JSONObject()
                .put("name", "n0")
                .put("listen", "127.0.0.1:" + address.getPort())
                .put("channel", "127.0.0.1:" + channel.port())
                .put("seed", "1")
                .put("limits", new JSONObject().put("sockets", 256).put("memory_mb", 192))
                .put(
                        "known",
                        new JSONObject()
                                .put("cursor", 1)
                                .put(
                                        "cmds",
                                        new JSONArray()
                                                .put(new JSONObject()
                                                        .put("cursor", 1)
                                                        .put(
                                                                "nodes",
                                                                new JSONObject()
                                                                        .put("rev", 1)
                                                                        .put("all", true)
                                                                        .put("targets", targets)))))
                .put("settings", new JSONObject(SETTINGS));
        change.accept(configuration);
        file = folder.resolve("config.json");
        node = new Node(read(), OwnSettings.none(), (eventLoop, polls) -> {
            loop = eventLoop;
            clock = new ManualClock(eventLoop, polls);
            return clock;
        });
        node.start();
    }

    private Configuration read() throws Configuration.Invalid {
        try {
            Files.writeString(file, configuration.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Configuration.load(Map.of("RELAY_CONFIG", file.toString()));
    }

    /** One node as the command channel lists it. */
    public static JSONObject target(String uid, Peer peer, String model) {
        return new JSONObject()
                .put("uid", uid)
                .put("endpoint", "127.0.0.1:" + peer.port())
                .put("az", "central")
                .put("model", model)
                .put("pod_group", 0)
                .put("state", "in_service")
                .put("capacity_hint", 1)
                .put("boot_ms", 0);
    }

    /** A client's connection. */
    public Wire client() throws IOException {
        return new Wire(new Socket(address.getAddress(), address.getPort()));
    }

    /** A client's connection that takes little before it is read. */
    public Wire narrowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(address);
        return new Wire(socket);
    }

    /** Holds the event loop until the runnable that comes back is run: what arrives meanwhile comes in one turn. */
    public Runnable hold() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        loop.execute(() -> {
            held.countDown();
            awaitRelease(release);
        });
        held.await();
        return release::countDown;
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            if (!release.await(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("the loop was never released");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until an end of a client's connection has come to the doorman's side of it, whether it has been read or not. */
    public void awaitEnded(Wire client) throws IOException, InterruptedException {
        String open =
                String.format(":%04X", address.getPort()) + " [0-9A-F]+" + String.format(":%04X 01", client.localPort);
        Pattern entry = Pattern.compile(open);
        for (int i = 0;
                entry.matcher(Files.readString(Path.of("/proc/net/tcp"))).find()
                        || entry.matcher(Files.readString(Path.of("/proc/net/tcp6")))
                                .find();
                i++) {
            if (i > PATIENCE_MS) {
                throw new AssertionError("its end never came");
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Waits until the doorman has read, and acted on, all that a client has written. */
    public void awaitRead(Wire client) throws IOException, InterruptedException {
        Pattern unread = Pattern.compile(String.format(":%04X", address.getPort()) + " [0-9A-F]+"
                + String.format(":%04X 01", client.localPort) + " [0-9A-F]{8}:(?!00000000)");
        for (int i = 0;
                unread.matcher(Files.readString(Path.of("/proc/net/tcp"))).find()
                        || unread.matcher(Files.readString(Path.of("/proc/net/tcp6")))
                                .find();
                i++) {
            if (i > PATIENCE_MS) {
                throw new AssertionError("it is never read");
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        loop.submit(() -> {}).syncUninterruptibly();
        loop.submit(() -> {}).syncUninterruptibly();
    }

    /** What is run once, within the turn of the loop that next asks for the time. */
    public void whenTheTimeIsNextAsked(Runnable task) {
        loop.submit(() -> clock.asked = task).syncUninterruptibly();
    }

    /** Lets time pass while nothing comes, with all timers that come due, each at its time. */
    public void pass(double ms) {
        loop.submit(() -> clock.pass(ms)).syncUninterruptibly();
        // Due in a later turn than this one's: by then the loop has looked at its sockets again, and what comes after
        // this
        // call is not taken for something that came before the time passed.
        loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    /** The same while the event loop is held, as when it is busy: no timer runs before it is released. */
    public void passHeld(double ms) {
        clock.now += ms;
    }

    /** Gives the doorman its configuration anew, changed, as SIGHUP does. */
    public void reload(Consumer<JSONObject> change) {
        change.accept(configuration);
        node.reload(this::read, OwnSettings::none);
    }

    @Override
    public void close() throws IOException {
        node.drain();
        try {
            while (!loop.isShuttingDown()) {
                pass(100);
            }
        } catch (RejectedExecutionException e) {
            // It has ended in between.
        }
        try {
            node.awaitEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        box.close();
        origin.close();
        channel.close();
    }

    private record Task(double at, long order, Runnable run) {}

    /** Time that stands still until the test moves it; what is due at once comes with the loop's next turn. */
    private static final class ManualClock implements Clock {
        private final EventLoop loop;
        private final SocketPolls polls;
        private final List<Task> timers = new ArrayList<>();
        private volatile double now = System.currentTimeMillis();
        private long order;
        private Runnable asked;

        ManualClock(EventLoop loop, SocketPolls polls) {
            this.loop = loop;
            this.polls = polls;
            polls.setClock(() -> now);
        }

        @Override
        public double pendingSinceMs() {
            return polls.pendingSinceMs();
        }

        @Override
        public double nowMs() {
            Runnable task = asked;
            if (task != null && loop.inEventLoop()) {
                asked = null;
                task.run();
            }
            return now;
        }

        @Override
        public Timer after(double delayMs, Runnable run) {
            if (delayMs <= 0) {
                boolean[] cancelled = new boolean[1];
                loop.execute(() -> {
                    if (!cancelled[0]) {
                        run.run();
                    }
                });
                return () -> cancelled[0] = true;
            }
            Task task = new Task(now + delayMs, order++, run);
            timers.add(task);
            return () -> timers.remove(task);
        }

        void pass(double ms) {
            double to = now + ms;
            for (; ; ) {
                Task next = timers.stream()
                        .min(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order))
                        .filter(t -> t.at() <= to)
                        .orElse(null);
                if (next == null) {
                    now = to;
                    return;
                }
                timers.remove(next);
                now = next.at();
                next.run().run();
            }
        }
    }

    /** One that others connect to: it hands the test every connection, and what comes on those that it is told to read. */
    public static final class Peer implements AutoCloseable {
        private final ServerSocket server;
        private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
        private final List<Socket> accepted = new ArrayList<>();

        /** A {@code serve} or {@code cancel} as it came, and on which connection. */
        public record Request(Wire wire, List<String> words) {
            /** The first word. */
            public String verb() {
                return words.get(0);
            }

            /** The request's id. */
            public String id() {
                return words.get(1);
            }

            /** Answers with a word, fields, and where there are any, bytes. */
            public void answer(String word, String fields, byte[] bytes) throws IOException {
                wire.resp(id(), word, fields, bytes);
            }
        }

        Peer(int backlog) {
            try {
                server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        int port() {
            return server.getLocalPort();
        }

        /** The next connection, for the test to read itself. */
        public Wire accept() throws IOException {
            server.setSoTimeout(PATIENCE_MS);
            Wire wire = new Wire(server.accept());
            synchronized (accepted) {
                accepted.add(wire.socket);
            }
            return wire;
        }

        /** Fills the queue of the listener, so that connects come up only once it accepts; who fills it comes back. */
        public List<Wire> fillQueue() throws IOException {
            List<Wire> registry = new ArrayList<>();
            try {
                for (; ; ) {
                    Socket socket = new Socket();
                    socket.connect(server.getLocalSocketAddress(), QUEUED_MS);
                    registry.add(new Wire(socket));
                }
            } catch (SocketTimeoutException e) {
                return registry;
            }
        }

        /** From now on accepts and reads by itself; requests wait for {@link #next}. */
        public Peer serve() {
            Thread acceptor = new Thread(
                    () -> {
                        try {
                            for (; ; ) {
                                Wire wire = accept();
                                Thread reader = new Thread(() -> read(wire), "peer-reader");
                                reader.setDaemon(true);
                                reader.start();
                            }
                        } catch (IOException e) {
                            // The test has ended.
                        }
                    },
                    "peer-acceptor");
            acceptor.setDaemon(true);
            acceptor.start();
            return this;
        }

        private void read(Wire wire) {
            try {
                for (List<String> words = wire.resp(); words != null; words = wire.resp()) {
                    requests.add(new Request(wire, words));
                }
            } catch (IOException e) {
                // Reset by the doorman, or the test has ended.
            }
        }

        /** The next message on any connection. */
        public Request next() throws InterruptedException {
            Request request = requests.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            if (request == null) {
                throw new AssertionError("nothing came");
            }
            return request;
        }

        /** A message that has come; null: none has. */
        public Request come() {
            return requests.poll();
        }

        @Override
        public void close() throws IOException {
            server.close();
            synchronized (accepted) {
                for (Socket socket : accepted) {
                    socket.close();
                }
            }
        }
    }

    /** One connection, read by the test. */
    public static final class Wire implements AutoCloseable {
        private final Socket socket;
        private final int localPort;
        private final DataInputStream in;
        private final OutputStream out;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            localPort = socket.getLocalPort();
            socket.setSoTimeout(PATIENCE_MS);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Writes bytes, and says nothing of their meaning. */
        public void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Writes a text. */
        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** One line without its end; null at the end of the connection. */
        public String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.write(b);
            }
            return line.toString(StandardCharsets.UTF_8).strip();
        }

        /** One RESP array of bulk strings; null at the end of the connection. */
        List<String> resp() throws IOException {
            String head = line();
            if (head == null) {
                return null;
            }
            List<String> words = new ArrayList<>();
            for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
                byte[] word = new byte[Integer.parseInt(line().substring(1))];
                in.readFully(word);
                in.readFully(new byte[2]);
                words.add(new String(word, StandardCharsets.ISO_8859_1));
            }
            return words;
        }

        /** Writes an answer of a depot's; {@code bytes} null: words alone. */
        synchronized void resp(String id, String word, String fields, byte[] bytes) throws IOException {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.writeBytes(("*" + (bytes == null ? 3 : 4) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            for (String text : List.of(id, word, fields)) {
                whole.writeBytes(("$" + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            if (bytes != null) {
                whole.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                whole.writeBytes(bytes);
                whole.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            write(whole.toByteArray());
        }

        /** One frame without its length; null at the end of the connection. */
        public byte[] frame() throws IOException {
            int length;
            try {
                length = in.readInt();
            } catch (EOFException e) {
                return null;
            }
            byte[] frame = new byte[length];
            in.readFully(frame);
            return frame;
        }

        /** Reads so many bytes. */
        public byte[] bytes(int count) throws IOException {
            byte[] bytes = new byte[count];
            in.readFully(bytes);
            return bytes;
        }

        /** Writes bytes to one that may have reset the connection, or does so meanwhile. */
        public void writeWhatGoes(byte[] bytes) {
            try {
                write(bytes);
            } catch (IOException e) {
                // It is gone, which is what it may be.
            }
        }

        /** Reads until the connection has ended, in order or by a reset. */
        public void awaitEnd() throws IOException {
            try {
                while (in.read() >= 0) {
                    // Thrown away.
                }
            } catch (SocketException e) {
                // A reset is an end too.
            }
        }

        /** Shuts this side only. */
        public void shutOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Ends the connection by a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Ends the connection in order, with a FIN. */
        public void end() throws IOException {
            socket.close();
        }

        @Override
        public void close() throws IOException {
            end();
        }
    }
}
