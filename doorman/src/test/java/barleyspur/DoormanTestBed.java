package barleyspur;

import barleyspur.config.Configuration;
import barleyspur.config.OwnSettings;
import barleyspur.doorman.Clock;
import barleyspur.doorman.SocketPollTimes;
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
 * A complete doorman on real loopback sockets, with a box, an origin and a command channel scripted by the test, and a
 * clock moved by the test. Its event loop can be held, so that everything that arrives meanwhile is processed in one
 * iteration: races are forced and don't depend on timing.
 */
public final class DoormanTestBed implements AutoCloseable {

    /** The timeout for events that have to occur; only a failing test waits that long. */
    static final int TIMEOUT_MS = 20_000;
    /**
     * A connect that is not established by then, although the system has retried it, waits for the listener to accept.
     */
    private static final int CONNECT_TIMEOUT_MS = 1_500;

    private static final int WAKEUP_TIMEOUT_MS = 10;

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

    /** The fake depot, listed as a cache. */
    public final FakePeer box;
    /** The fake origin. */
    public final FakePeer origin;
    /** The fake command channel. */
    public final FakePeer channel = new FakePeer(0);
    /** The doorman under test. */
    public final DoormanServer server;

    private final Path configurationFile;
    private final JSONObject configuration;
    private final InetSocketAddress address;
    private ManualClock clock;
    private EventLoop loop;

    /** Starts a doorman; {@code change} may change its configuration before the start. */
    public DoormanTestBed(Path folder, Consumer<JSONObject> change) throws Exception {
        this(folder, change, 0);
    }

    /** Starts a doorman with a box that has this listen backlog; 0 for the default. */
    public DoormanTestBed(Path folder, Consumer<JSONObject> change, int boxBacklog) throws Exception {
        box = new FakePeer(boxBacklog);
        origin = new FakePeer(0);
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
        configurationFile = folder.resolve("config.json");
        server = new DoormanServer(read(), OwnSettings.none(), (eventLoop, polls) -> {
            loop = eventLoop;
            clock = new ManualClock(eventLoop, polls);
            return clock;
        });
        server.start();
    }

    private Configuration read() throws Configuration.InvalidConfigurationException {
        try {
            Files.writeString(configurationFile, configuration.toString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Configuration.load(Map.of("RELAY_CONFIG", configurationFile.toString()));
    }

    /** Returns a node in the format of the command channel. */
    public static JSONObject target(String uid, FakePeer peer, String model) {
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

    /** Opens a client connection. */
    public TestConnection client() throws IOException {
        return new TestConnection(new Socket(address.getAddress(), address.getPort()));
    }

    /** Opens a client connection with a small receive buffer. */
    public TestConnection clientWithSmallReceiveBuffer() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(address);
        return new TestConnection(socket);
    }

    /**
     * Holds the event loop until the returned runnable is run, so that everything that arrives meanwhile is processed
     * in one iteration.
     */
    public Runnable holdEventLoop() throws InterruptedException {
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
            if (!release.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException("the event loop was never released");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until the end of a client's connection has arrived at the doorman's socket, whether it has been read or
     * not.
     */
    public void awaitCloseReceived(TestConnection client) throws IOException, InterruptedException {
        String pattern =
                String.format(":%04X", address.getPort()) + " [0-9A-F]+" + String.format(":%04X 01", client.localPort);
        Pattern entry = Pattern.compile(pattern);
        for (int i = 0;
                entry.matcher(Files.readString(Path.of("/proc/net/tcp"))).find()
                        || entry.matcher(Files.readString(Path.of("/proc/net/tcp6")))
                                .find();
                i++) {
            if (i > TIMEOUT_MS) {
                throw new AssertionError("the end of the connection never arrived");
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Waits until the doorman has read and processed everything that a client has written. */
    public void awaitRead(TestConnection client) throws IOException, InterruptedException {
        Pattern unread = Pattern.compile(String.format(":%04X", address.getPort()) + " [0-9A-F]+"
                + String.format(":%04X 01", client.localPort) + " [0-9A-F]{8}:(?!00000000)");
        for (int i = 0;
                unread.matcher(Files.readString(Path.of("/proc/net/tcp"))).find()
                        || unread.matcher(Files.readString(Path.of("/proc/net/tcp6")))
                                .find();
                i++) {
            if (i > TIMEOUT_MS) {
                throw new AssertionError("the doorman never read the input");
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        loop.submit(() -> {}).syncUninterruptibly();
        loop.submit(() -> {}).syncUninterruptibly();
    }

    /** Runs {@code task} once, within the iteration of the event loop that next reads the clock. */
    public void onNextClockRead(Runnable task) {
        loop.submit(() -> clock.onNextRead = task).syncUninterruptibly();
    }

    /** Advances the clock while nothing arrives, and runs each timer at its due time. */
    public void advanceClock(double durationMs) {
        loop.submit(() -> clock.advance(durationMs)).syncUninterruptibly();
        // Data that arrives after this call must not be dated to before the advance, so the loop has to poll its
        // sockets once more. A task may still run in the current iteration, if the loop's thread was suspended.
        do {
            // A loop that is shutting down may never run it.
            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).awaitUninterruptibly(WAKEUP_TIMEOUT_MS);
        } while (!loop.isShuttingDown() && !clock.hasPolledSinceAdvance());
    }

    /** Advances the clock while the event loop is held, as if it were busy: no timer runs before it is released. */
    public void advanceClockOnly(double durationMs) {
        clock.nowMs += durationMs;
    }

    /** Changes the configuration and makes the doorman reload it, as SIGHUP does. */
    public void reload(Consumer<JSONObject> change) {
        change.accept(configuration);
        server.reload(this::read, OwnSettings::none);
    }

    @Override
    public void close() throws IOException {
        server.drain();
        try {
            while (!loop.isShuttingDown()) {
                advanceClock(100);
            }
        } catch (RejectedExecutionException e) {
            // The event loop has shut down meanwhile.
        }
        try {
            server.awaitEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        box.close();
        origin.close();
        channel.close();
    }

    /** A scheduled task; tasks due at the same time run in order of {@code sequence}. */
    private record Task(double dueMs, long sequence, Runnable action) {}

    /** A clock that only the test advances. Tasks without a delay run in the next iteration of the event loop. */
    private static final class ManualClock implements Clock {
        private final EventLoop loop;
        private final SocketPollTimes polls;
        private final List<Task> timers = new ArrayList<>();
        private volatile double nowMs = System.currentTimeMillis();
        private long sequence;
        private Runnable onNextRead;

        ManualClock(EventLoop loop, SocketPollTimes polls) {
            this.loop = loop;
            this.polls = polls;
            polls.setClock(() -> nowMs);
        }

        @Override
        public double lastPollMs() {
            return polls.lastPollMs();
        }

        @Override
        public double earliestArrivalMs() {
            return polls.earliestArrivalMs();
        }

        @Override
        public double nowMs() {
            Runnable task = onNextRead;
            if (task != null && loop.inEventLoop()) {
                onNextRead = null;
                task.run();
            }
            return nowMs;
        }

        @Override
        public Timer schedule(double delayMs, Runnable run) {
            if (delayMs <= 0) {
                boolean[] cancelled = new boolean[1];
                loop.execute(() -> {
                    if (!cancelled[0]) {
                        run.run();
                    }
                });
                return () -> cancelled[0] = true;
            }
            Task task = new Task(nowMs + delayMs, sequence++, run);
            timers.add(task);
            return () -> timers.remove(task);
        }

        /** Returns whether the loop has polled its sockets since the clock last moved. */
        boolean hasPolledSinceAdvance() {
            return polls.lastPollMs() >= nowMs;
        }

        void advance(double durationMs) {
            double endMs = nowMs + durationMs;
            for (; ; ) {
                Task next = timers.stream()
                        .min(Comparator.comparingDouble(Task::dueMs).thenComparingLong(Task::sequence))
                        .filter(t -> t.dueMs() <= endMs)
                        .orElse(null);
                if (next == null) {
                    nowMs = endMs;
                    return;
                }
                timers.remove(next);
                nowMs = next.dueMs();
                next.action().run();
            }
        }
    }

    /**
     * A fake server. Passes each connection to the test, or after {@link #serve} each message received on any
     * connection.
     */
    public static final class FakePeer implements AutoCloseable {
        private final ServerSocket server;
        private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
        private final List<Socket> accepted = new ArrayList<>();

        /** A received message, such as {@code serve} or {@code cancel}, and its connection. */
        public record Request(TestConnection connection, List<String> strings) {
            /** Returns the name of the command. */
            public String command() {
                return strings.get(0);
            }

            /** Returns the request id. */
            public String id() {
                return strings.get(1);
            }

            /** Answers with a status, fields, and a body unless {@code bytes} is null. */
            public void answer(String status, String fields, byte[] bytes) throws IOException {
                connection.resp(id(), status, fields, bytes);
            }
        }

        FakePeer(int backlog) {
            try {
                server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        int port() {
            return server.getLocalPort();
        }

        /** Accepts the next connection, which the test reads itself. */
        public TestConnection accept() throws IOException {
            server.setSoTimeout(TIMEOUT_MS);
            TestConnection connection = new TestConnection(server.accept());
            synchronized (accepted) {
                accepted.add(connection.socket);
            }
            return connection;
        }

        /**
         * Fills the accept queue, so that further connects are established only once the listener accepts. Returns the
         * connections that fill it.
         */
        public List<TestConnection> fillAcceptQueue() throws IOException {
            List<TestConnection> connections = new ArrayList<>();
            try {
                for (; ; ) {
                    Socket socket = new Socket();
                    socket.connect(server.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                    connections.add(new TestConnection(socket));
                }
            } catch (SocketTimeoutException e) {
                return connections;
            }
        }

        /** Accepts and reads connections in the background from now on; messages are queued for {@link #nextRequest}. */
        public FakePeer serve() {
            Thread acceptor = new Thread(
                    () -> {
                        try {
                            for (; ; ) {
                                TestConnection connection = accept();
                                Thread reader = new Thread(() -> read(connection), "peer-reader");
                                reader.setDaemon(true);
                                reader.start();
                            }
                        } catch (IOException e) {
                            // The listener was closed at the end of the test.
                        }
                    },
                    "peer-acceptor");
            acceptor.setDaemon(true);
            acceptor.start();
            return this;
        }

        private void read(TestConnection connection) {
            try {
                for (List<String> strings = connection.resp(); strings != null; strings = connection.resp()) {
                    requests.add(new Request(connection, strings));
                }
            } catch (IOException e) {
                // The doorman reset the connection, or the test has ended.
            }
        }

        /** Returns the next message on any connection, and waits for it. */
        public Request nextRequest() throws InterruptedException {
            Request request = requests.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (request == null) {
                throw new AssertionError("no message arrived");
            }
            return request;
        }

        /** Returns the next message that has already arrived, or null. */
        public Request pollRequest() {
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

    /** A connection that the test reads and writes. */
    public static final class TestConnection implements AutoCloseable {
        private final Socket socket;
        private final int localPort;
        private final DataInputStream in;
        private final OutputStream out;

        TestConnection(Socket socket) throws IOException {
            this.socket = socket;
            localPort = socket.getLocalPort();
            socket.setSoTimeout(TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Writes bytes as they are. */
        public void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Writes text in UTF-8. */
        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Reads one line without its line end; null at the end of the connection. */
        public String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return null;
                }
                line.write(b);
            }
            return line.toString(StandardCharsets.UTF_8).strip();
        }

        /** Reads one RESP array of bulk strings; null at the end of the connection. */
        List<String> resp() throws IOException {
            String head = readLine();
            if (head == null) {
                return null;
            }
            List<String> strings = new ArrayList<>();
            for (int remaining = Integer.parseInt(head.substring(1)); remaining > 0; remaining--) {
                byte[] string = new byte[Integer.parseInt(readLine().substring(1))];
                in.readFully(string);
                in.readFully(new byte[2]);
                strings.add(new String(string, StandardCharsets.ISO_8859_1));
            }
            return strings;
        }

        /** Writes a depot's answer; {@code bytes} is null for one without a body. */
        synchronized void resp(String id, String string, String fields, byte[] bytes) throws IOException {
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(("*" + (bytes == null ? 3 : 4) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            for (String text : List.of(id, string, fields)) {
                message.writeBytes(("$" + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            }
            if (bytes != null) {
                message.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                message.writeBytes(bytes);
                message.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            write(message.toByteArray());
        }

        /** Reads one frame without its length prefix; null at the end of the connection. */
        public byte[] readFrame() throws IOException {
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

        /** Reads exactly {@code count} bytes. */
        public byte[] readBytes(int count) throws IOException {
            byte[] bytes = new byte[count];
            in.readFully(bytes);
            return bytes;
        }

        /** Writes to a connection that the peer may reset before or during the write. */
        public void writeIgnoringErrors(byte[] bytes) {
            try {
                write(bytes);
            } catch (IOException e) {
                // The connection was reset, which is allowed here.
            }
        }

        /** Reads and discards input until the connection has ended, normally or by a reset. */
        public void awaitEnd() throws IOException {
            try {
                while (in.read() >= 0) {
                    // Discard.
                }
            } catch (SocketException e) {
                // A reset ends the connection as well.
            }
        }

        /** Shuts down the output side only. */
        public void shutdownOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection normally, with a FIN. */
        public void end() throws IOException {
            socket.close();
        }

        @Override
        public void close() throws IOException {
            end();
        }
    }
}
