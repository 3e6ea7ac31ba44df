import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.Paths;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases of the review share: small stand-ins for clients, depots and the command channel, the start of real
 * doormans with the line "run" of the deploy file, and the record of a run. Everything is on 127.0.0.1.
 */
final class Rig implements AutoCloseable {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    /** Added to the verdict in the exit code, since a JVM that does not start exits with 1; run.sh subtracts it. */
    static final int EXIT_CODES = 10;

    final Path root;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8, task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private final PrintWriter record;
    private final List<AutoCloseable> open = new ArrayList<>();

    /** args: the repository's root, and the file of the record. */
    Rig(String[] args) throws IOException {
        root = Paths.get(args[0]).toAbsolutePath();
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Paths.get(args[1])), false);
        note("run with TROUBLE=" + (trouble ? "1" : "0"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Writes one line, with the Unix time in milliseconds. */
    void note(String text) {
        synchronized (record) {
            record.println(System.currentTimeMillis() + " " + text);
        }
    }

    <T extends AutoCloseable> T own(T part) {
        synchronized (open) {
            open.add(part);
        }
        return part;
    }

    private void endProcesses() {
        synchronized (open) {
            for (AutoCloseable part : open) {
                if (part instanceof Doorman doorman) {
                    doorman.close();
                }
            }
        }
    }

    @Override
    public void close() {
        endProcesses();
        synchronized (open) {
            for (AutoCloseable part : open) {
                try {
                    part.close();
                } catch (Exception e) {
                    // The run is over.
                }
            }
            open.clear();
        }
        synchronized (record) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Only the temporary folder stays behind.
        }
    }

    /** Ends the run with a verdict. */
    void end(int verdict, String why) {
        note((verdict == HELD ? "HELD: " : verdict == BROKEN ? "BROKEN: " : "COULD NOT RUN: ") + why);
        System.out.println((verdict == HELD ? "held: " : verdict == BROKEN ? "broken: " : "could not run: ") + why);
        close();
        System.out.flush();
        Runtime.getRuntime().halt(EXIT_CODES + verdict);
    }

    interface Body {
        void run(Rig rig) throws Exception;
    }

    static void play(String[] args, Body body) throws Exception {
        Rig rig = new Rig(args);
        try {
            body.run(rig);
            rig.end(COULD_NOT_RUN, "the case came to no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
            rig.end(COULD_NOT_RUN, e.toString());
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms));
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- configuration ---------------------------------------------------------------------------------

    /** One entry of the list of depots. */
    static String target(String uid, int port, String az, String model, int podGroup, String state, long bootMs) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + az + "\",\"model\":\""
                + model + "\",\"pod_group\":" + podGroup + ",\"state\":\"" + state
                + "\",\"capacity_hint\":4,\"boot_ms\":" + bootMs + "}";
    }

    static String nodes(long cursor, boolean all, List<String> targets) {
        return "{\"cursor\":" + cursor + ",\"nodes\":{\"rev\":" + cursor + ",\"all\":" + all + ",\"targets\":["
                + String.join(",", targets) + "]}}";
    }

    // ---- the command channel ---------------------------------------------------------------------------

    /** Follows the page: "resume N", then later events, and each second the last number. */
    final class Channel implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        private final List<String> events = new ArrayList<>();

        Channel(String first) throws IOException {
            events.add(first);
            daemon("channel", () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        daemon("channel connection", () -> serve(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        long last() {
            synchronized (events) {
                return events.size();
            }
        }

        String known() {
            synchronized (events) {
                return "{\"cursor\":" + events.size() + ",\"cmds\":[" + String.join(",", events) + "]}";
            }
        }

        /** Adds an event, whose number has to be last() + 1. */
        void tell(String event) {
            synchronized (events) {
                events.add(event);
                events.notifyAll();
            }
            note("channel tells " + event);
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                String line = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
                if (line == null || !line.startsWith("resume ")) {
                    return;
                }
                int next = Integer.parseInt(line.substring(7).trim());
                OutputStream out = socket.getOutputStream();
                long heartbeatNanos = System.nanoTime();
                while (true) {
                    List<String> lines = new ArrayList<>();
                    synchronized (events) {
                        long waitMs = (heartbeatNanos - System.nanoTime()) / 1_000_000;
                        if (next >= events.size() && waitMs > 0) {
                            events.wait(waitMs);
                        }
                        while (next < events.size()) {
                            lines.add(events.get(next++));
                        }
                        if (System.nanoTime() >= heartbeatNanos - 1_000_000) {
                            lines.add(Integer.toString(events.size()));
                            heartbeatNanos += 1_000_000_000L;
                        }
                    }
                    for (String text : lines) {
                        out.write((text + "\n").getBytes(StandardCharsets.UTF_8));
                    }
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // The doorman has left.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    // ---- depots ----------------------------------------------------------------------------------------

    /** What a depot does with a command. */
    interface Server {
        void serve(Depot.Connection connection, Command command) throws IOException;
    }

    record Command(String id, Map<String, String> fields, byte[] body, long atMs) {}

    /** A depot, parent or origin: reads commands of the page's form and passes each to a handler. */
    final class Depot implements AutoCloseable {
        final String uid;
        final ServerSocket server;
        private final Server handler;
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Depot(String uid, Server handler) throws IOException {
            this(uid, 0, handler);
        }

        Depot(String uid, int port, Server handler) throws IOException {
            this.uid = uid;
            this.handler = handler;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress("127.0.0.1", port), 512);
            daemon(uid, () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        Connection connection = new Connection(socket);
                        connections.add(connection);
                        daemon(uid + " connection", connection::run);
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        final class Connection {
            final Socket socket;
            /** Ids that are open here. */
            final Set<String> openIds = ConcurrentHashMap.newKeySet();
            private final OutputStream out;

            Connection(Socket socket) throws IOException {
                this.socket = socket;
                socket.setTcpNoDelay(true);
                out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
            }

            Depot depot() {
                return Depot.this;
            }

            private void run() {
                try (DataInputStream in =
                        new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 * 1024))) {
                    while (true) {
                        List<byte[]> items = readArray(in);
                        String verb = text(items.get(0));
                        if (verb.equals("serve")) {
                            Command command = new Command(
                                    text(items.get(1)),
                                    fields(text(items.get(2))),
                                    items.get(3),
                                    System.currentTimeMillis());
                            openIds.add(command.id());
                            handler.serve(this, command);
                        } else if (verb.equals("cancel")) {
                            openIds.remove(text(items.get(1)));
                            note(uid + " cancel " + text(items.get(1)));
                        } else {
                            write(text(items.get(1)), "FIT", "-", new byte[0]);
                        }
                    }
                } catch (IOException e) {
                    // The doorman has closed the connection, or it was reset.
                } finally {
                    connections.remove(this);
                    openIds.clear();
                }
            }

            /** Answers, unless the request was given up. */
            boolean answer(String id, String word, String fields, byte[] body) {
                if (!openIds.remove(id)) {
                    return false;
                }
                try {
                    write(id, word, fields, body);
                    return true;
                } catch (IOException e) {
                    return false;
                }
            }

            private void write(String id, String word, String fields, byte[] body) throws IOException {
                synchronized (out) {
                    out.write("*4\r\n".getBytes(StandardCharsets.US_ASCII));
                    bulk(id.getBytes(StandardCharsets.US_ASCII));
                    bulk(word.getBytes(StandardCharsets.US_ASCII));
                    bulk(fields.getBytes(StandardCharsets.US_ASCII));
                    bulk(body);
                    out.flush();
                }
            }

            private void bulk(byte[] bytes) throws IOException {
                out.write(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }

            /** Resets the connection. */
            void reset() {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            connections.forEach(Connection::reset);
        }
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Map<String, String> fields(String list) {
        Map<String, String> fields = new LinkedHashMap<>();
        if (!list.equals("-")) {
            for (String field : list.split(",")) {
                int at = field.indexOf('=');
                fields.put(field.substring(0, at), field.substring(at + 1));
            }
        }
        return fields;
    }

    private static List<byte[]> readArray(DataInputStream in) throws IOException {
        int count = readNumber(in, '*');
        List<byte[]> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] item = new byte[readNumber(in, '$')];
            in.readFully(item);
            in.readByte();
            in.readByte();
            items.add(item);
        }
        return items;
    }

    private static int readNumber(DataInputStream in, char type) throws IOException {
        if (in.readByte() != type) {
            throw new IOException("not RESP");
        }
        int number = 0;
        for (byte b = in.readByte(); b != '\r'; b = in.readByte()) {
            number = number * 10 + b - '0';
        }
        in.readByte();
        return number;
    }

    // ---- clients ---------------------------------------------------------------------------------------

    /** A final answer as a client sees it: served, refused, failed, or lost with the connection. */
    record Answer(String kind, byte[] body, Map<String, String> fields) {}

    interface Waiting {
        void answered(Answer answer);
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final DataOutputStream out;
        private final Map<Integer, Waiting> waiting = new ConcurrentHashMap<>();
        private final AtomicInteger seqids = new AtomicInteger();
        volatile boolean ended;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setTcpNoDelay(true);
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 64 * 1024));
            daemon("client", this::read);
        }

        int openRequests() {
            return waiting.size();
        }

        /** Writes a request and returns its sequence number. */
        int dispatch(Map<String, String> fields, byte[] body, Waiting then) throws IOException {
            synchronized (out) {
                int seqid = seqids.incrementAndGet();
                byte[] frame = dispatchFrame(seqid, fields, body);
                waiting.put(seqid, then);
                out.write(frame);
                out.flush();
                if (ended && waiting.remove(seqid) != null) {
                    then.answered(new Answer("lost", new byte[0], Map.of()));
                }
                return seqid;
            }
        }

        void alive(Waiting then) throws IOException {
            synchronized (out) {
                int seqid = seqids.incrementAndGet();
                waiting.put(seqid, then);
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream data = new DataOutputStream(bytes);
                data.writeInt(0x80010001);
                string(data, "alive");
                data.writeInt(seqid);
                data.writeByte(2);
                data.writeShort(1);
                data.writeByte(1);
                data.writeByte(0);
                out.writeInt(bytes.size());
                bytes.writeTo(out);
                out.flush();
            }
        }

        /** Gives a request up; returns whether it was still open. */
        boolean cancel(int seqid) throws IOException {
            if (waiting.remove(seqid) == null) {
                return false;
            }
            synchronized (out) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                DataOutputStream data = new DataOutputStream(bytes);
                data.writeInt(0x80010004);
                string(data, "cancelRequest");
                data.writeInt(seqids.incrementAndGet());
                data.writeByte(8);
                data.writeShort(1);
                data.writeInt(seqid);
                data.writeByte(0);
                out.writeInt(bytes.size());
                bytes.writeTo(out);
                out.flush();
            }
            return true;
        }

        static byte[] dispatchFrame(int seqid, Map<String, String> fields, byte[] body) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeInt(0);
            data.writeInt(0x80010001);
            string(data, "dispatch");
            data.writeInt(seqid);
            data.writeByte(13);
            data.writeShort(1);
            data.writeByte(11);
            data.writeByte(11);
            data.writeInt(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                string(data, field.getKey());
                string(data, field.getValue());
            }
            data.writeByte(11);
            data.writeShort(2);
            data.writeInt(body.length);
            data.write(body);
            data.writeByte(0);
            byte[] frame = bytes.toByteArray();
            int length = frame.length - 4;
            frame[0] = (byte) (length >> 24);
            frame[1] = (byte) (length >> 16);
            frame[2] = (byte) (length >> 8);
            frame[3] = (byte) length;
            return frame;
        }

        private static void string(DataOutputStream data, String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            data.writeInt(bytes.length);
            data.write(bytes);
        }

        private void read() {
            try (DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 * 1024))) {
                while (true) {
                    byte[] frame = new byte[in.readInt()];
                    in.readFully(frame);
                    parse(new DataInputStream(new java.io.ByteArrayInputStream(frame)));
                }
            } catch (IOException e) {
                // The connection has ended.
            }
            ended = true;
            for (Integer seqid : waiting.keySet()) {
                Waiting then = waiting.remove(seqid);
                if (then != null) {
                    then.answered(new Answer("lost", new byte[0], Map.of()));
                }
            }
        }

        private void parse(DataInputStream in) throws IOException {
            int type = in.readInt() & 0xFF;
            readString(in);
            int seqid = in.readInt();
            Answer answer;
            if (type == 3) {
                in.readByte();
                in.readShort();
                answer = new Answer("failed", new byte[0], Map.of("exception", readString(in)));
            } else {
                in.readByte();
                int field = in.readShort();
                answer = field == 0
                        ? readServed(in)
                        : new Answer(field == 1 ? "refused" : "failed", new byte[0], readFieldsOnly(in));
            }
            Waiting then = waiting.remove(seqid);
            if (then != null) {
                then.answered(answer);
            }
        }

        private static Answer readServed(DataInputStream in) throws IOException {
            byte[] body = new byte[0];
            Map<String, String> fields = Map.of();
            boolean good = false;
            for (int type = in.readByte(); type != 0; type = in.readByte()) {
                int field = in.readShort();
                if (field == 1) {
                    body = new byte[in.readInt()];
                    in.readFully(body);
                } else if (field == 2) {
                    fields = readMap(in);
                } else {
                    good = in.readByte() == 1;
                }
            }
            return new Answer(good ? "served" : "not good", body, fields);
        }

        private static Map<String, String> readFieldsOnly(DataInputStream in) throws IOException {
            if (in.readByte() == 0) {
                return Map.of();
            }
            in.readShort();
            return readMap(in);
        }

        private static Map<String, String> readMap(DataInputStream in) throws IOException {
            in.readByte();
            in.readByte();
            Map<String, String> map = new LinkedHashMap<>();
            for (int left = in.readInt(); left > 0; left--) {
                map.put(readString(in), readString(in));
            }
            return map;
        }

        private static String readString(DataInputStream in) throws IOException {
            byte[] bytes = new byte[in.readInt()];
            in.readFully(bytes);
            return text(bytes);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 20 >>> 1);

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    // ---- doormans --------------------------------------------------------------------------------------

    /** A real doorman, started with the line "run" of the deploy file. */
    final class Doorman implements AutoCloseable {
        final Process process;
        final Path log;
        final int port;

        Doorman(String name, int port, Path config, Map<String, String> variables) throws IOException {
            this.port = port;
            log = temp.resolve(name + "-" + System.nanoTime() + ".log");
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("the deploy file has no line run");
            }
            String line = run.group(1);
            int comment = line.indexOf("\"   #");
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", comment < 0 ? line : line.substring(0, comment));
            builder.directory(root.toFile());
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("TMPDIR", Files.createDirectories(temp.resolve("tmp-" + name)).toString());
            builder.environment().putAll(variables);
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            own(this);
            note("doorman " + name + " starts, process " + process.pid());
        }

        /** Waits until it has answered alive with good. */
        void awaitReady() throws Exception {
            long untilNanos = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < untilNanos) {
                if (!process.isAlive()) {
                    throw new IOException("the doorman has ended: " + Files.readString(log));
                }
                try (Client client = new Client(port)) {
                    java.util.concurrent.CompletableFuture<Answer> answer =
                            new java.util.concurrent.CompletableFuture<>();
                    client.alive(answer::complete);
                    if (answer.get(2, TimeUnit.SECONDS).kind().equals("served")) {
                        note("doorman at " + port + " is ready");
                        return;
                    }
                } catch (IOException | java.util.concurrent.TimeoutException e) {
                    sleep(50);
                }
            }
            throw new IOException("the doorman is not ready in 30 s");
        }

        void signal(String name) throws IOException, InterruptedException {
            note("SIG" + name + " to process " + process.pid());
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        int residentMb() throws IOException {
            Matcher resident = Pattern.compile("VmRSS:\\s+(\\d+) kB")
                    .matcher(Files.readString(Path.of("/proc", Long.toString(process.pid()), "status")));
            return resident.find() ? Integer.parseInt(resident.group(1)) / 1024 : 0;
        }

        @Override
        public void close() {
            if (process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            try {
                Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
                        .limit(400)
                        .forEach(line -> note("log: " + line));
                Files.deleteIfExists(log);
            } catch (IOException e) {
                // Its log was noted before.
            }
        }
    }
}
