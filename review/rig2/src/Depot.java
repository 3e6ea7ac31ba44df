import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A depot, parent or origin: reads RESP commands and answers each as its behaviour says. */
final class Depot {

    /** An attempt that has arrived whole. */
    record Attempt(Depot depot, String id, Map<String, String> fields, byte[] body, Connection connection) {
        String field(String name) {
            return fields.get(name);
        }

        /** Answers after a while, unless the request was given up. */
        void answer(double delayMs, String word, String answerFields, byte[] answerBody) {
            Rig.after(delayMs, () -> connection.answer(this, word, answerFields, answerBody));
        }

        /** Answers after a while, at so many bytes a second, unless the request was given up before. */
        void answerPaced(double delayMs, String word, String answerFields, byte[] answerBody, int bytesPerS) {
            Rig.thread("answer", () -> {
                Rig.sleep(delayMs);
                connection.answerPaced(this, word, answerFields, answerBody, bytesPerS);
            });
        }
    }

    /** Decides what an attempt is answered. */
    interface Behaviour {
        void onAttempt(Attempt attempt) throws Exception;
    }

    final String uid;
    final String zone;
    final String model;
    private final Record record;
    private final Behaviour behaviour;
    private final ServerSocket server;
    /** Whether each cancel goes to the record. */
    volatile boolean recordsCancels = true;

    Depot(String uid, String zone, String model, Record record, Behaviour behaviour) throws IOException {
        this.uid = uid;
        this.zone = zone;
        this.model = model;
        this.record = record;
        this.behaviour = behaviour;
        this.server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        Rig.thread(uid, () -> {
            while (true) {
                Connection connection = new Connection(server.accept());
                Rig.thread(uid + "-connection", connection::read);
            }
        });
    }

    /** Returns the entry of this depot in a list. */
    Map<String, Object> listing(String state, int cell, double size, long bootMs) {
        return Json.map(
                "uid", uid, "endpoint", "127.0.0.1:" + server.getLocalPort(), "az", zone, "model", model,
                "pod_group", cell, "state", state, "capacity_hint", size, "boot_ms", bootMs);
    }

    /** One connection from a doorman. */
    final class Connection {
        private final Socket socket;
        private final OutputStream out;
        private final Set<String> open = ConcurrentHashMap.newKeySet();

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        private void read() throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                while (true) {
                    byte[][] words = new byte[(int) number(in, '*')][];
                    for (int i = 0; i < words.length; i++) {
                        words[i] = in.readNBytes((int) number(in, '$'));
                        in.readNBytes(2);
                    }
                    String command = text(words[0]);
                    String id = text(words[1]);
                    if (command.equals("serve")) {
                        open.add(id);
                        behaviour.onAttempt(new Attempt(Depot.this, id, fields(text(words[2])), words[3], this));
                    } else if (command.equals("cancel")) {
                        open.remove(id);
                        if (recordsCancels) {
                            record.line("%s is told to give up %s", uid, id);
                        }
                    } else {
                        write(id, "FIT", "-", new byte[0]);
                    }
                }
            } finally {
                open.clear();
            }
        }

        private void answer(Attempt attempt, String word, String fields, byte[] body) throws IOException {
            if (open.remove(attempt.id())) {
                write(attempt.id(), word, fields, body);
            }
        }

        /** Writes an answer at a pace; other answers on this connection wait for it. */
        private void answerPaced(Attempt attempt, String word, String fields, byte[] body, int bytesPerS)
                throws IOException, InterruptedException {
            if (!open.remove(attempt.id())) {
                return;
            }
            byte[] message = encode(attempt.id(), word, fields, body);
            synchronized (this) {
                double startMs = record.ms();
                for (int from = 0; from < message.length; ) {
                    Rig.sleep(startMs + from * 1000.0 / bytesPerS - record.ms());
                    int count = Math.min(message.length - from, Math.max(1, bytesPerS / 20));
                    out.write(message, from, count);
                    out.flush();
                    from += count;
                }
            }
        }

        private void write(String id, String word, String fields, byte[] body) throws IOException {
            byte[] message = encode(id, word, fields, body);
            synchronized (this) {
                out.write(message);
                out.flush();
            }
        }
    }

    private static byte[] encode(String id, String word, String fields, byte[] body) {
        ByteArrayOutputStream message = new ByteArrayOutputStream(body.length + 256);
        message.writeBytes(bytes("*4\r\n"));
        for (byte[] part : new byte[][] {bytes(id), bytes(word), bytes(fields), body}) {
            message.writeBytes(bytes("$" + part.length + "\r\n"));
            message.writeBytes(part);
            message.writeBytes(bytes("\r\n"));
        }
        return message.toByteArray();
    }

    private static long number(InputStream in, char marker) throws IOException {
        int first = in.read();
        if (first < 0) {
            throw new EOFException();
        }
        if (first != marker) {
            throw new IOException("expected " + marker);
        }
        long value = 0;
        for (int digit = in.read(); digit != '\r'; digit = in.read()) {
            if (digit < 0) {
                throw new EOFException();
            }
            value = value * 10 + digit - '0';
        }
        in.read();
        return value;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split(",")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return fields;
    }
}
