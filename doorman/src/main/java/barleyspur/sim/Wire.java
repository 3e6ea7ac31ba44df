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

/** The bench's binary wire: batches of events in, replies of actions out, and hands the settings text on. */
final class Wire {

    private static final int BATCH_HEADER = 20;
    private static final int ENTRY_BYTES = 23;
    private static final int MAX_TEXT = 0xFFFF;

    private Wire() {}

    /** Input that the wire page does not allow; the message says what and where. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** What starts an instance. */
    record Born(long seed, Director.Settings settings) {}

    /** One record: a start ({@code born}), a stop (both null) or an event. */
    record Record(int instance, Born born, Director.Event event) {}

    // ---- reading --------------------------------------------------------------------------------------

    /** Reads one batch; null at a clean end of input. */
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

    /** One batch, whose records are decoded as they are asked for. */
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

        boolean hasNext() throws Malformed {
            if (taken < count) {
                return true;
            }
            if (body.hasRemaining()) {
                throw new Malformed(place() + body.remaining() + " bytes are left over");
            }
            return false;
        }

        Record next() throws Malformed {
            int start = body.position();
            try {
                Record record = record();
                taken++;
                return record;
            } catch (BufferUnderflowException e) {
                throw new Malformed(place() + "the record at byte " + start + " is cut short");
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
                        default -> throw new IllegalArgumentException("unknown kind of list");
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

        /** Notes of later dialects read as no note: they advise, they don't bind. */
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

        void add(int instance, Director.Action action) {
            if (action instanceof Director.Send a) {
                put(open(1, instance, 16)
                        .putInt((int) a.request())
                        .putInt((int) a.node())
                        .putDouble(a.timeoutMs()));
            } else if (action instanceof Director.Get a) {
                put(open(7, instance, 30)
                        .putInt((int) a.request())
                        .putInt((int) a.node())
                        .putDouble(a.timeoutMs())
                        .putInt((int) a.source())
                        .put((byte) a.rank())
                        .putDouble(a.maxAgeMs())
                        .put(bits(a)));
            } else if (action instanceof Director.Cancel a) {
                put(open(8, instance, 5).putInt((int) a.request()).put((byte) a.attempt()));
            } else if (action instanceof Director.Refuse a) {
                put(open(9, instance, 12).putInt((int) a.request()).putDouble(a.pauseMs()));
            } else if (action instanceof Director.Fail a) {
                put(open(11, instance, 4).putInt((int) a.request()));
            } else if (action instanceof Director.WakeAt a) {
                put(open(4, instance, 16).putDouble(a.atMs()).putLong(a.token()));
            } else if (action instanceof Director.Probe a) {
                put(open(13, instance, 4).putInt((int) a.node()));
            } else if (action instanceof Director.HangUp a) {
                put(open(6, instance, 4).putInt((int) a.node()));
            } else if (action instanceof Director.Tell a) {
                put(open(3, instance, 4 + a.body().length)
                        .putShort((short) a.to())
                        .putShort((short) a.body().length)
                        .put(a.body()));
            } else if (action instanceof Director.Log a) {
                text(12, instance, a.line());
            } else if (action instanceof Director.Watch a) {
                put(open(10, instance, 1).put((byte) (a.on() ? 1 : 0)));
            } else if (action instanceof Director.Fetch) {
                put(open(5, instance, 0));
            }
        }

        void bailOut(int instance, String text) {
            text(2, instance, text);
        }

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
