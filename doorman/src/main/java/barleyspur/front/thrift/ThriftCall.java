package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A call of the service, decoded from the strict binary protocol. */
sealed interface ThriftCall {

    /** The sequence number by which the client matches the response. */
    int seqid();

    /** A request. {@code body} is a slice of the frame, which the parser doesn't retain. */
    record Dispatch(int seqid, Map<String, String> fields, ByteBuf body) implements ThriftCall {}

    /** Cancels the request whose sequence number is {@code cancelled}. */
    record CancelRequest(int seqid, int cancelled) implements ThriftCall {}

    /** Asks whether this process accepts requests. */
    record Alive(int seqid) implements ThriftCall {}

    /** A call of a method that the service doesn't have. */
    record Unknown(int seqid, String method) implements ThriftCall {}

    /** Thrown for a frame that isn't a valid call in the strict binary protocol. */
    final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** Parses the call in {@code frame}, which holds nothing else. */
    static ThriftCall read(ByteBuf frame) throws Malformed {
        try {
            return new Reader(frame).call();
        } catch (IndexOutOfBoundsException e) {
            throw new Malformed("the frame ends before the call does");
        }
    }

    /** Reads the call from one frame. */
    final class Reader {
        private static final int MOST_DEPTH = 8;
        private static final int MOST_ENTRIES = 256;
        private static final int MOST_NAME = 64;

        private final ByteBuf in;

        Reader(ByteBuf in) {
            this.in = in;
        }

        ThriftCall call() throws Malformed {
            int head = in.readInt();
            if ((head & 0xFFFF0000) != Thrift.VERSION) {
                throw new Malformed("no version of the strict binary protocol");
            }
            int type = head & 0xFF;
            if (type != Thrift.CALL && type != Thrift.ONEWAY) {
                throw new Malformed("message type " + type + " is not a call");
            }
            String method = text(MOST_NAME);
            int seqid = in.readInt();
            return switch (method) {
                case "dispatch" -> dispatch(seqid);
                case "cancelRequest" -> cancelRequest(seqid);
                case "alive" -> {
                    skipStruct(0);
                    yield new Alive(seqid);
                }
                default -> new Unknown(seqid, method);
            };
        }

        private ThriftCall dispatch(int seqid) throws Malformed {
            Map<String, String> fields = Map.of();
            ByteBuf body = in.slice(in.readerIndex(), 0);
            for (int type = in.readByte(); type != Thrift.STOP; type = in.readByte()) {
                int field = in.readShort();
                if (field == 1 && type == Thrift.MAP) {
                    fields = fields();
                } else if (field == 2 && type == Thrift.STRING) {
                    body = in.readSlice(length(in.readableBytes()));
                } else {
                    skip(type, 0);
                }
            }
            return new Dispatch(seqid, fields, body);
        }

        private ThriftCall cancelRequest(int seqid) throws Malformed {
            int cancelled = 0;
            for (int type = in.readByte(); type != Thrift.STOP; type = in.readByte()) {
                int field = in.readShort();
                if (field == 1 && type == Thrift.I32) {
                    cancelled = in.readInt();
                } else {
                    skip(type, 0);
                }
            }
            return new CancelRequest(seqid, cancelled);
        }

        private Map<String, String> fields() throws Malformed {
            int keyType = in.readByte();
            int valueType = in.readByte();
            int size = in.readInt();
            if (size < 0 || size > MOST_ENTRIES) {
                throw new Malformed("invalid map size " + size);
            }
            if (size > 0 && (keyType != Thrift.STRING || valueType != Thrift.STRING)) {
                throw new Malformed("the map of fields has keys or values that are not strings");
            }
            Map<String, String> fields = new HashMap<>();
            for (int i = 0; i < size; i++) {
                String name = text(in.readableBytes());
                fields.put(name, text(in.readableBytes()));
            }
            return fields;
        }

        private String text(int most) throws Malformed {
            int length = length(most);
            String text = in.toString(in.readerIndex(), length, StandardCharsets.UTF_8);
            in.skipBytes(length);
            return text;
        }

        private int length(int most) throws Malformed {
            int length = in.readInt();
            if (length < 0 || length > most || length > in.readableBytes()) {
                throw new Malformed("invalid string length " + length);
            }
            return length;
        }

        private void skipStruct(int depth) throws Malformed {
            for (int type = in.readByte(); type != Thrift.STOP; type = in.readByte()) {
                in.skipBytes(Short.BYTES);
                skip(type, depth);
            }
        }

        /** Skips the value of a field that this version doesn't know. */
        private void skip(int type, int depth) throws Malformed {
            if (depth > MOST_DEPTH) {
                throw new Malformed("structs or collections are nested too deeply");
            }
            switch (type) {
                case Thrift.BOOL, Thrift.BYTE -> in.skipBytes(1);
                case Thrift.I16 -> in.skipBytes(Short.BYTES);
                case Thrift.I32 -> in.skipBytes(Integer.BYTES);
                case Thrift.I64, Thrift.DOUBLE -> in.skipBytes(Long.BYTES);
                case Thrift.STRING -> in.skipBytes(length(in.readableBytes()));
                case Thrift.STRUCT -> skipStruct(depth + 1);
                case Thrift.MAP -> {
                    int keyType = in.readByte();
                    int valueType = in.readByte();
                    for (int left = entries(); left > 0; left--) {
                        skip(keyType, depth + 1);
                        skip(valueType, depth + 1);
                    }
                }
                case Thrift.SET, Thrift.LIST -> {
                    int itemType = in.readByte();
                    for (int left = entries(); left > 0; left--) {
                        skip(itemType, depth + 1);
                    }
                }
                default -> throw new Malformed("unknown field type " + type);
            }
        }

        private int entries() throws Malformed {
            int size = in.readInt();
            if (size < 0 || size > in.readableBytes()) {
                throw new Malformed("invalid collection size " + size);
            }
            return size;
        }
    }
}
