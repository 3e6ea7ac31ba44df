import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

/** One connection of a client: framed Thrift, strict binary protocol. */
final class Client implements AutoCloseable {

    /** A whole answer, or in what way the connection ended before it. */
    record Answer(String kind, byte[] body, Map<String, String> fields, boolean good, double atMs) {
        boolean isWhole() {
            return !kind.equals("cut");
        }
    }

    private final Socket socket = new Socket();
    private final OutputStream out;
    private final Record record;
    private final Map<Integer, CompletableFuture<Answer>> open = new HashMap<>();
    private int lastSeqid;
    private String ended;

    /** Connects; reads at most so many bytes a second, or without a limit if that is 0. */
    Client(int port, Record record, int bytesPerS) throws IOException {
        this.record = record;
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        InputStream in = bytesPerS == 0 ? socket.getInputStream() : new SlowInput(socket.getInputStream(), bytesPerS);
        Rig.thread("client", () -> read(new DataInputStream(in)));
    }

    Client(int port, Record record) throws IOException {
        this(port, record, 0);
    }

    /** Input that is read at a steady pace, 20 times a second. */
    private static final class SlowInput extends InputStream {
        private final InputStream in;
        private final int bytesPerS;
        private final long startNanos = System.nanoTime();
        private long taken;

        SlowInput(InputStream in, int bytesPerS) {
            this.in = in;
            this.bytesPerS = bytesPerS;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            while (true) {
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                // What was not used of the pace is not saved up beyond a twentieth of a second.
                taken = Math.max(taken, (long) ((seconds - 0.05) * bytesPerS));
                long allowed = (long) (seconds * bytesPerS) - taken;
                if (allowed > 0) {
                    int count = in.read(buffer, offset, (int) Math.min(allowed, length));
                    taken += Math.max(0, count);
                    return count;
                }
                try {
                    Thread.sleep(5);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Returns the fields of a request. */
    static Map<String, String> request(String className, String object, int part, int bucket, int waitMs, String sizeKb) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("c", className);
        fields.put("i", newId());
        fields.put("d", Integer.toString(waitMs));
        fields.put("o", object);
        fields.put("seg", Integer.toString(part));
        fields.put("bucket", Integer.toString(bucket));
        fields.put("m", sizeKb);
        return fields;
    }

    /** Sends a request; the answer comes whole or as "cut" once the connection has ended. */
    CompletableFuture<Answer> dispatch(Map<String, String> fields, byte[] body) throws IOException {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        int seqid = register(answer);
        send(encodeDispatch(seqid, fields, body));
        return answer;
    }

    CompletableFuture<Answer> alive() throws IOException {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        int seqid = register(answer);
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(message);
        head(data, 1, "alive", seqid);
        data.writeByte(2);
        data.writeShort(1);
        data.writeByte(1);
        data.writeByte(0);
        send(message.toByteArray());
        return answer;
    }

    /** Returns the next sequence number without waiting for its answer. */
    synchronized int nextSeqid() {
        return ++lastSeqid;
    }

    /** Returns the message, without its length, that withdraws a request. */
    static byte[] encodeCancel(int seqid, int cancelled) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(message);
        head(data, 4, "cancelRequest", seqid);
        data.writeByte(8);
        data.writeShort(1);
        data.writeInt(cancelled);
        data.writeByte(0);
        return message.toByteArray();
    }

    /** Returns a request's message without its length. */
    static byte[] encodeDispatch(int seqid, Map<String, String> fields, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(message);
        head(data, 1, "dispatch", seqid);
        data.writeByte(13);
        data.writeShort(1);
        data.writeByte(11);
        data.writeByte(11);
        data.writeInt(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            string(data, field.getKey().getBytes(StandardCharsets.UTF_8));
            string(data, field.getValue().getBytes(StandardCharsets.UTF_8));
        }
        data.writeByte(11);
        data.writeShort(2);
        string(data, body);
        data.writeByte(0);
        return message.toByteArray();
    }

    private static void head(DataOutputStream data, int type, String method, int seqid) throws IOException {
        data.writeInt(0x80010000 | type);
        string(data, method.getBytes(StandardCharsets.UTF_8));
        data.writeInt(seqid);
    }

    private static void string(DataOutputStream data, byte[] bytes) throws IOException {
        data.writeInt(bytes.length);
        data.write(bytes);
    }

    /** Writes messages, each behind its length, in one piece. */
    void send(byte[]... messages) throws IOException {
        ByteArrayOutputStream frames = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(frames);
        for (byte[] message : messages) {
            string(data, message);
        }
        synchronized (out) {
            frames.writeTo(out);
            out.flush();
        }
    }

    private synchronized int register(CompletableFuture<Answer> answer) {
        int seqid = ++lastSeqid;
        if (ended != null) {
            answer.complete(cut());
        } else {
            open.put(seqid, answer);
        }
        return seqid;
    }

    private Answer cut() {
        return new Answer("cut", ended.getBytes(StandardCharsets.UTF_8), Map.of(), false, record.ms());
    }

    /** Returns how the connection ended, or null while it is open. */
    synchronized String ended() {
        return ended;
    }

    synchronized int openCount() {
        return open.size();
    }

    private void read(DataInputStream in) {
        String cause;
        try {
            while (true) {
                int length = in.readInt();
                byte[] frame = new byte[length];
                in.readFully(frame);
                onMessage(new DataInputStream(new java.io.ByteArrayInputStream(frame)));
            }
        } catch (IOException e) {
            cause = e.toString();
        }
        synchronized (this) {
            ended = cause;
            open.values().forEach(answer -> answer.complete(cut()));
            open.clear();
        }
    }

    private void onMessage(DataInputStream in) throws IOException {
        int type = in.readInt() & 0xFF;
        readString(in);
        int seqid = in.readInt();
        Answer answer;
        if (type == 3) {
            answer = new Answer("exception", new byte[0], Map.of(), false, record.ms());
        } else {
            in.readByte();
            int field = in.readShort();
            answer = readAnswer(in, new String[] {"served", "refused", "failed"}[field]);
        }
        CompletableFuture<Answer> waiting;
        synchronized (this) {
            waiting = open.remove(seqid);
        }
        if (waiting != null) {
            waiting.complete(answer);
        }
    }

    private Answer readAnswer(DataInputStream in, String kind) throws IOException {
        byte[] body = new byte[0];
        Map<String, String> fields = new HashMap<>();
        boolean good = false;
        for (int type = in.readByte(); type != 0; type = in.readByte()) {
            in.readShort();
            if (type == 11) {
                body = readString(in);
            } else if (type == 2) {
                good = in.readByte() != 0;
            } else {
                in.readShort();
                int size = in.readInt();
                for (int i = 0; i < size; i++) {
                    fields.put(new String(readString(in), StandardCharsets.UTF_8), new String(readString(in), StandardCharsets.UTF_8));
                }
            }
        }
        return new Answer(kind, body, fields, good, record.ms());
    }

    private static byte[] readString(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return bytes;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
