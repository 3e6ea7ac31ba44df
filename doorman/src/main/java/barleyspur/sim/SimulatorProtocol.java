package barleyspur.sim;

import barleyspur.config.SettingsReader;
import barleyspur.decision.RoutingPolicy;
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
final class SimulatorProtocol {

    private static final int BATCH_HEADER = 20;
    private static final int ENTRY_BYTES = 23;
    private static final int MAX_TEXT = 0xFFFF;

    private SimulatorProtocol() {}

    /** Thrown for input that violates the protocol. The message says what is wrong and where. */
    static final class MalformedInputException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedInputException(String message) {
            super(message);
        }
    }

    /** The seed and the settings with which an instance is started. */
    record InstanceStart(long seed, RoutingPolicy.Settings settings) {}

    /**
     * One record of a batch: a start ({@code start} is set), an event ({@code event} is set) or a stop (both are
     * null).
     */
    record Entry(int instance, InstanceStart start, RoutingPolicy.Event event) {}

    // ---- reading --------------------------------------------------------------------------------------

    /** Reads one batch. Returns null if the input ends between two batches. */
    static Batch read(InputStream in) throws IOException, MalformedInputException {
        byte[] header = in.readNBytes(BATCH_HEADER);
        if (header.length == 0) {
            return null;
        }
        if (header.length < BATCH_HEADER) {
            throw new MalformedInputException("input ends inside a batch header, after " + header.length + " bytes");
        }
        ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
        long count = u32(fields);
        long length = u32(fields);
        double nowMs = fields.getDouble();
        long number = u32(fields);
        if (length > Integer.MAX_VALUE) {
            throw new MalformedInputException("batch " + number + ": length " + length + " is too large");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new MalformedInputException(
                    "batch " + number + ": input ends after " + body.length + " of " + length + " bytes");
        }
        return new Batch(number, nowMs, count, ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN));
    }

    /** One batch. Its records are decoded one at a time by {@link #next}. */
    static final class Batch {
        private final long number;
        private final double nowMs;
        private final long count;
        private final ByteBuffer body;
        private long decoded;

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
        boolean hasNext() throws MalformedInputException {
            if (decoded < count) {
                return true;
            }
            if (body.hasRemaining()) {
                throw new MalformedInputException(position() + body.remaining() + " bytes follow the last record");
            }
            return false;
        }

        /** Decodes the next record. */
        Entry next() throws MalformedInputException {
            int start = body.position();
            try {
                Entry entry = entry();
                decoded++;
                return entry;
            } catch (BufferUnderflowException e) {
                throw new MalformedInputException(position() + "the record at byte " + start + " is truncated");
            } catch (IllegalArgumentException e) {
                throw new MalformedInputException(position() + "the record at byte " + start + ": " + e.getMessage());
            }
        }

        private String position() {
            return "batch " + number + ", record " + decoded + " of " + count + ": ";
        }

        private Entry entry() {
            int code = u8(body);
            int instance = u16(body);
            if (code == 1) {
                long seed = body.getLong();
                return new Entry(
                        instance,
                        new InstanceStart(seed, SettingsReader.read(SettingsReader.parseLines(text(u32(body))))),
                        null);
            }
            return new Entry(instance, null, code == 10 ? null : event(code));
        }

        private RoutingPolicy.Event event(int code) {
            return switch (code) {
                case 2 -> members();
                case 3 -> request();
                case 4 -> firstByte();
                case 5 -> outcome();
                case 6 -> new RoutingPolicy.Gone(u32(body));
                case 7 -> new RoutingPolicy.Alarm(body.getLong());
                case 8 -> probed();
                case 9 -> new RoutingPolicy.Told(u16(body), bytes(u16(body)));
                case 11 -> purged();
                default -> throw new IllegalArgumentException("unknown event code " + code);
            };
        }

        private RoutingPolicy.Members members() {
            RoutingPolicy.ListKind kind =
                    switch (u8(body)) {
                        case 0 -> RoutingPolicy.ListKind.FULL;
                        case 1 -> RoutingPolicy.ListKind.CACHED;
                        case 2 -> RoutingPolicy.ListKind.FAILED;
                        case 3 -> RoutingPolicy.ListKind.DELTA;
                        default -> throw new IllegalArgumentException("unknown list kind");
                    };
            body.getLong();
            long rows = u32(body);
            if (rows * ENTRY_BYTES > body.remaining()) {
                throw new BufferUnderflowException();
            }
            List<RoutingPolicy.Node> nodes = new ArrayList<>((int) rows);
            for (long i = 0; i < rows; i++) {
                nodes.add(new RoutingPolicy.Node(
                        u32(body),
                        u16(body),
                        u16(body),
                        u16(body),
                        state(u8(body)),
                        body.getFloat(),
                        body.getDouble()));
            }
            return new RoutingPolicy.Members(kind, nodes);
        }

        private static RoutingPolicy.State state(int code) {
            return switch (code) {
                case 0 -> RoutingPolicy.State.DRAINING;
                case 2 -> RoutingPolicy.State.READY;
                case 3 -> RoutingPolicy.State.GONE;
                default -> throw new IllegalArgumentException("unknown state " + code);
            };
        }

        private RoutingPolicy.Request request() {
            long id = u32(body);
            int classIndex = u8(body);
            long tenant = u32(body);
            long object = body.getLong();
            double remaining = body.getDouble();
            double kb = body.getFloat();
            int group = (int) body.getFloat();
            int part = (int) body.getFloat();
            int bits = u8(body);
            return new RoutingPolicy.Request(
                    id, classIndex, tenant, object, part, group, remaining, kb, (bits & 2) != 0, (bits & 4) != 0);
        }

        private RoutingPolicy.FirstByte firstByte() {
            long id = u32(body);
            body.getDouble();
            long node = u32(body);
            return new RoutingPolicy.FirstByte(id, u8(body), node);
        }

        private RoutingPolicy.Outcome outcome() {
            long id = u32(body);
            RoutingPolicy.Result result = result(u16(body));
            double latency = body.getDouble();
            boolean closed = u8(body) != 0;
            int attempt = u8(body);
            long node = u32(body);
            RoutingPolicy.Note note = note(u32(body));
            double waited = body.getDouble();
            return new RoutingPolicy.Outcome(id, attempt, node, result, latency, closed, note, waited, load());
        }

        private RoutingPolicy.Probed probed() {
            RoutingPolicy.Result result = result(u16(body));
            double latency = body.getDouble();
            return new RoutingPolicy.Probed(u32(body), result, latency, load());
        }

        private RoutingPolicy.Purged purged() {
            int group = u16(body);
            double age = body.getDouble();
            return new RoutingPolicy.Purged(group, body.getLong(), age);
        }

        private List<Float> load() {
            int count = u8(body);
            List<Float> values = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                values.add(body.getFloat());
            }
            return values;
        }

        private static RoutingPolicy.Result result(int code) {
            return switch (code) {
                case 100 -> RoutingPolicy.Result.OK;
                case 101 -> RoutingPolicy.Result.MISS;
                case 301 -> RoutingPolicy.Result.ERROR;
                case 302 -> RoutingPolicy.Result.FULL;
                case 303 -> RoutingPolicy.Result.TIMEOUT;
                case 304 -> RoutingPolicy.Result.CONNECT_FAILED;
                case 305 -> RoutingPolicy.Result.RESET;
                case 306 -> RoutingPolicy.Result.CANCELLED;
                case 307 -> RoutingPolicy.Result.MOOT;
                default -> throw new IllegalArgumentException("unknown outcome " + code);
            };
        }

        /** Decodes a note. Notes of later protocol versions are ignored, as notes are only advice. */
        private static RoutingPolicy.Note note(long code) {
            RoutingPolicy.Note[] notes = RoutingPolicy.Note.values();
            return code < notes.length ? notes[(int) code] : RoutingPolicy.Note.NONE;
        }

        private byte[] bytes(long length) {
            if (length > body.remaining()) {
                throw new BufferUnderflowException();
            }
            byte[] bytes = new byte[(int) length];
            body.get(bytes);
            return bytes;
        }

        private String text(long length) {
            return new String(bytes(length), StandardCharsets.UTF_8);
        }
    }

    private static int u8(ByteBuffer buffer) {
        return buffer.get() & 0xFF;
    }

    private static int u16(ByteBuffer buffer) {
        return buffer.getShort() & 0xFFFF;
    }

    private static long u32(ByteBuffer buffer) {
        return buffer.getInt() & 0xFFFFFFFFL;
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
        void add(int instance, RoutingPolicy.Action action) {
            if (action instanceof RoutingPolicy.Send send) {
                append(newRecord(1, instance, 16)
                        .putInt((int) send.request())
                        .putInt((int) send.node())
                        .putDouble(send.timeoutMs()));
            } else if (action instanceof RoutingPolicy.Get get) {
                append(newRecord(7, instance, 30)
                        .putInt((int) get.request())
                        .putInt((int) get.node())
                        .putDouble(get.timeoutMs())
                        .putInt((int) get.source())
                        .put((byte) get.rank())
                        .putDouble(get.maxAgeMs())
                        .put(flags(get)));
            } else if (action instanceof RoutingPolicy.Cancel cancel) {
                append(newRecord(8, instance, 5).putInt((int) cancel.request()).put((byte) cancel.attempt()));
            } else if (action instanceof RoutingPolicy.Refuse refusal) {
                append(newRecord(9, instance, 12)
                        .putInt((int) refusal.request())
                        .putDouble(refusal.pauseMs()));
            } else if (action instanceof RoutingPolicy.Fail failure) {
                append(newRecord(11, instance, 4).putInt((int) failure.request()));
            } else if (action instanceof RoutingPolicy.WakeAt timer) {
                append(newRecord(4, instance, 16).putDouble(timer.atMs()).putLong(timer.token()));
            } else if (action instanceof RoutingPolicy.Probe probe) {
                append(newRecord(13, instance, 4).putInt((int) probe.node()));
            } else if (action instanceof RoutingPolicy.HangUp hangUp) {
                append(newRecord(6, instance, 4).putInt((int) hangUp.node()));
            } else if (action instanceof RoutingPolicy.Tell message) {
                append(newRecord(3, instance, 4 + message.body().length)
                        .putShort((short) message.to())
                        .putShort((short) message.body().length)
                        .put(message.body()));
            } else if (action instanceof RoutingPolicy.Log log) {
                text(12, instance, log.line());
            } else if (action instanceof RoutingPolicy.Watch watch) {
                append(newRecord(10, instance, 1).put((byte) (watch.on() ? 1 : 0)));
            } else if (action instanceof RoutingPolicy.Fetch) {
                append(newRecord(5, instance, 0));
            }
        }

        /** Encodes the failure of an instance. */
        void addFailure(int instance, String text) {
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

        private static byte flags(RoutingPolicy.Get get) {
            return (byte) ((get.join() ? 1 : 0)
                    | (get.onlyHeld() ? 2 : 0)
                    | (get.parentKeepsNone() ? 4 : 0)
                    | (get.renew() ? 8 : 0));
        }

        private void text(int code, int instance, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            int length = Math.min(bytes.length, MAX_TEXT);
            append(newRecord(code, instance, 2 + length)
                    .putShort((short) length)
                    .put(bytes, 0, length));
        }

        private static ByteBuffer newRecord(int code, int instance, int fields) {
            return ByteBuffer.allocate(3 + fields)
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .put((byte) code)
                    .putShort((short) instance);
        }

        private void append(ByteBuffer record) {
            body.writeBytes(record.array());
            count++;
        }
    }
}
