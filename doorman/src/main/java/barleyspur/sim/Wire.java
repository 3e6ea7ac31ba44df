package barleyspur.sim;

import barleyspur.config.SettingsReader;
import barleyspur.decision.Director;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The simulator's binary protocol: decodes batches of events, including the text of settings, and encodes actions.
 */
final class Wire {

    private static final int BATCH_HEADER = 20;
    private static final int ENTRY_BYTES = 23;
    private static final int MAX_TEXT = 0xFFFF;

    private Wire() {}

    /** Thrown for input that violates the protocol. The message says what is wrong and where. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** The seed and the settings with which an instance is started. */
    record Born(long seed, Director.Settings settings) {}

    /**
     * One record of a batch: a start ({@code born} is set), an event ({@code event} is set) or a stop (both are
     * null).
     */
    record Record(int instance, Born born, Director.Event event) {}

    // ---- reading --------------------------------------------------------------------------------------

    /** Reads one batch. Returns null if the input ends between two batches. */
    static Batch read(InputStream in) throws IOException, Malformed {
        byte[] header = in.readNBytes(BATCH_HEADER);
        if (header.length == 0) {
            return null;
        }
        if (header.length < BATCH_HEADER) {
            throw new Malformed("input ends inside a batch header, after " + header.length + " bytes");
        }
        ByteBuffer h = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        long count = u32(h);
        long length = u32(h);
        double nowMs = h.getDouble();
        long number = u32(h);
        if (length > Integer.MAX_VALUE) {
            throw new Malformed("batch " + number + ": length " + length + " is too large");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new Malformed("batch " + number + ": input ends after " + body.length + " of " + length + " bytes");
        }
        return new Batch(number, nowMs, count, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN));
    }

    /** One batch. Its records are decoded one at a time by {@link #next}. */
    static final class Batch {
        private final long number;
        private final double nowMs;
        private final long count;
        private final ByteBuffer body;
        private long taken;

        Batch(long number, double nowMs, long count, ByteBuffer body) {
            this.number = number;
            this.nowMs = nowMs;
            this.count = count;
            this.body = body;
        }

        long number() {
            return number;
        }

        double nowMs() {
            return nowMs;
        }

        /** Returns whether there are more records. Throws if bytes are left after the last one. */
        boolean hasNext() throws Malformed {
            if (taken < count) {
                return true;
            }
            if (body.hasRemaining()) {
                throw new Malformed(place() + body.remaining() + " bytes follow the last record");
            }
            return false;
        }

        /** Decodes the next record. */
        Record next() throws Malformed {
            int start = body.position();
            try {
                Record record = record();
                taken++;
                return record;
            } catch (BufferUnderflowException e) {
                throw new Malformed(place() + "the record at byte " + start + " is truncated");
            } catch (IllegalArgumentException e) {
                throw new Malformed(place() + "the record at byte " + start + ": " + e.getMessage());
            }
        }

        private String place() {
            return "batch " + number + ", record " + taken + " of " + count + ": ";
        }

        private Record record() {
            int code = u8(body);
            int instance = u16(body);
            if (code == 1) {
                long seed = body.getLong();
                return new Record(
                        instance, new Born(seed, SettingsReader.read(SettingsReader.lines(text(u32(body))))), null);
            }
            return new Record(instance, null, code == 10 ? null : event(code));
        }

        private Director.Event event(int code) {
            return switch (code) {
                case 2 -> members();
                case 3 -> request();
                case 4 -> firstByte();
                case 5 -> outcome();
                case 6 -> new Director.Gone(u32(body));
                case 7 -> new Director.Alarm(body.getLong());
                case 8 -> probed();
                case 9 -> new Director.Told(u16(body), bytes(u16(body)));
                case 11 -> purged();
                default -> throw new IllegalArgumentException("unknown event code " + code);
            };
        }

        private Director.Members members() {
            Director.ListKind kind =
                    switch (u8(body)) {
                        case 0 -> Director.ListKind.FULL;
                        case 1 -> Director.ListKind.CACHED;
                        case 2 -> Director.ListKind.FAILED;
                        case 3 -> Director.ListKind.DELTA;
                        default -> throw new IllegalArgumentException("unknown list kind");
                    };
            body.getLong();
            long rows = u32(body);
            if (rows * ENTRY_BYTES > body.remaining()) {
                throw new BufferUnderflowException();
            }
            List<Director.Node> nodes = new ArrayList<>((int) rows);
            for (long i = 0; i < rows; i++) {
                nodes.add(new Director.Node(
                        u32(body),
                        u16(body),
                        u16(body),
                        u16(body),
                        state(u8(body)),
                        body.getFloat(),
                        body.getDouble()));
            }
            return new Director.Members(kind, nodes);
        }

        private static Director.State state(int code) {
            return switch (code) {
                case 0 -> Director.State.DRAINING;
                case 2 -> Director.State.READY;
                case 3 -> Director.State.GONE;
                default -> throw new IllegalArgumentException("unknown state " + code);
            };
        }

        private Director.Request request() {
            long id = u32(body);
            int category = u8(body);
            long tenant = u32(body);
            long object = body.getLong();
            double remaining = body.getDouble();
            double kb = body.getFloat();
            int group = (int) body.getFloat();
            int part = (int) body.getFloat();
            int bits = u8(body);
            return new Director.Request(
                    id, category, tenant, object, part, group, remaining, kb, (bits & 2) != 0, (bits & 4) != 0);
        }

        private Director.FirstByte firstByte() {
            long id = u32(body);
            body.getDouble();
            long node = u32(body);
            return new Director.FirstByte(id, u8(body), node);
        }

        private Director.Outcome outcome() {
            long id = u32(body);
            Director.Result result = result(u16(body));
            double latency = body.getDouble();
            boolean closed = u8(body) != 0;
            int attempt = u8(body);
            long node = u32(body);
            Director.Note note = note(u32(body));
            double waited = body.getDouble();
            return new Director.Outcome(id, attempt, node, result, latency, closed, note, waited, load());
        }

        private Director.Probed probed() {
            Director.Result result = result(u16(body));
            double latency = body.getDouble();
            return new Director.Probed(u32(body), result, latency, load());
        }

        private Director.Purged purged() {
            int group = u16(body);
            double age = body.getDouble();
            return new Director.Purged(group, body.getLong(), age);
        }

        private List<Float> load() {
            int n = u8(body);
            List<Float> values = new ArrayList<>(n);
            for (int i = 0; i < n; i++) {
                values.add(body.getFloat());
            }
            return values;
        }

        private static Director.Result result(int code) {
            return switch (code) {
                case 100 -> Director.Result.OK;
                case 101 -> Director.Result.MISS;
                case 301 -> Director.Result.ERROR;
                case 302 -> Director.Result.FULL;
                case 303 -> Director.Result.TIMEOUT;
                case 304 -> Director.Result.CONNECT_FAILED;
                case 305 -> Director.Result.RESET;
                case 306 -> Director.Result.CANCELLED;
                case 307 -> Director.Result.MOOT;
                default -> throw new IllegalArgumentException("unknown outcome " + code);
            };
        }

        /** Decodes a note. Notes of later protocol versions are ignored, as notes are only advice. */
        private static Director.Note note(long code) {
            Director.Note[] notes = Director.Note.values();
            return code < notes.length ? notes[(int) code] : Director.Note.NONE;
        }

        private byte[] bytes(long n) {
            if (n > body.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] bytes = new byte[(int) n];
            body.get(bytes);
            return bytes;
        }

        private String text(long n) {
            return new String(bytes(n), StandardCharsets.UTF_8);
        }
    }

    private static int u8(ByteBuffer b) {
        return b.get() & 0xFF;
    }

    private static int u16(ByteBuffer b) {
        return b.getShort() & 0xFFFF;
    }

    private static long u32(ByteBuffer b) {
        return b.getInt() & 0xFFFFFFFFL;
    }

    // ---- writing --------------------------------------------------------------------------------------

    /** The actions that answer one batch. */
    static final class Reply {
        private final long number;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int count;

        Reply(long number) {
            this.number = number;
        }

        /** Encodes an action of an instance. */
        void add(int instance, Director.Action action) {
            if (action instanceof Director.Send send) {
                put(open(1, instance, 16)
                        .putInt((int) send.request())
                        .putInt((int) send.node())
                        .putDouble(send.timeoutMs()));
            } else if (action instanceof Director.Get get) {
                put(open(7, instance, 30)
                        .putInt((int) get.request())
                        .putInt((int) get.node())
                        .putDouble(get.timeoutMs())
                        .putInt((int) get.source())
                        .put((byte) get.rank())
                        .putDouble(get.maxAgeMs())
                        .put(bits(get)));
            } else if (action instanceof Director.Cancel cancel) {
                put(open(8, instance, 5).putInt((int) cancel.request()).put((byte) cancel.attempt()));
            } else if (action instanceof Director.Refuse refusal) {
                put(open(9, instance, 12).putInt((int) refusal.request()).putDouble(refusal.pauseMs()));
            } else if (action instanceof Director.Fail failure) {
                put(open(11, instance, 4).putInt((int) failure.request()));
            } else if (action instanceof Director.WakeAt timer) {
                put(open(4, instance, 16).putDouble(timer.atMs()).putLong(timer.token()));
            } else if (action instanceof Director.Probe probe) {
                put(open(13, instance, 4).putInt((int) probe.node()));
            } else if (action instanceof Director.HangUp hangUp) {
                put(open(6, instance, 4).putInt((int) hangUp.node()));
            } else if (action instanceof Director.Tell message) {
                put(open(3, instance, 4 + message.body().length)
                        .putShort((short) message.to())
                        .putShort((short) message.body().length)
                        .put(message.body()));
            } else if (action instanceof Director.Log log) {
                text(12, instance, log.line());
            } else if (action instanceof Director.Watch watch) {
                put(open(10, instance, 1).put((byte) (watch.on() ? 1 : 0)));
            } else if (action instanceof Director.Fetch) {
                put(open(5, instance, 0));
            }
        }

        /** Encodes the failure of an instance. */
        void bailOut(int instance, String text) {
            text(2, instance, text);
        }

        /** Writes the reply with its header. */
        void writeTo(OutputStream out) throws IOException {
            ByteBuffer header = ByteBuffer.allocate(12).order(ByteOrder.LITTLE_ENDIAN);
            out.write(header.putInt(count)
                    .putInt(body.size())
                    .putInt((int) number)
                    .array());
            body.writeTo(out);
        }

        private static byte bits(Director.Get a) {
            return (byte)
                    ((a.join() ? 1 : 0) | (a.onlyHeld() ? 2 : 0) | (a.parentKeepsNone() ? 4 : 0) | (a.renew() ? 8 : 0));
        }

        private void text(int code, int instance, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int n = Math.min(bytes.length, MAX_TEXT);
            put(open(code, instance, 2 + n).putShort((short) n).put(bytes, 0, n));
        }

        private static ByteBuffer open(int code, int instance, int fields) {
            return ByteBuffer.allocate(3 + fields)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .put((byte) code)
                    .putShort((short) instance);
        }

        private void put(ByteBuffer record) {
            body.writeBytes(record.array());
            count++;
        }
    }
}
