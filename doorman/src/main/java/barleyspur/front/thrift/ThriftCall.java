package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A call of the service, decoded from the strict binary protocol. */
sealed interface ThriftCall {

    /** The sequence number by which the client matches the response. */
    int seqid();

    /** The start of a call, without its arguments. */
    record Head(String method, int seqid) {
        /** The length of the longest valid head: version and type, the method's length and name, sequence number. */
        static final int MAX_BYTES = Integer.BYTES + Integer.BYTES + Reader.MAX_NAME_BYTES + Integer.BYTES;

        /** Returns whether this is the head of a request. */
        boolean isDispatch() {
            return method.equals(Reader.DISPATCH);
        }
    }

    /** A request. {@code body} is a slice of the frame, which the parser doesn't retain. */
    record Dispatch(int seqid, Map<String, String> fields, ByteBuf body) implements ThriftCall {}

    /** Cancels the request whose sequence number is {@code cancelled}. */
    record CancelRequest(int seqid, int cancelled) implements ThriftCall {}

    /** Asks whether this process accepts requests. */
    record Alive(int seqid) implements ThriftCall {}

    /** A call of a method that the service doesn't have. */
    record UnknownMethod(int seqid, String method) implements ThriftCall {}

    /** Thrown for a frame that isn't a valid call in the strict binary protocol. */
    final class MalformedCallException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedCallException(String message) {
            super(message);
        }
    }

    /** Parses the call in {@code frame}, which holds nothing else. */
    static ThriftCall parse(ByteBuf frame) throws MalformedCallException {
        try {
            return new Reader(frame).readCall();
        } catch (IndexOutOfBoundsException e) {
            throw new MalformedCallException("the frame ends before the call does");
        }
    }

    /** Parses only the head of the call whose first bytes are {@code start}. */
    static Head parseHead(ByteBuf start) throws MalformedCallException {
        try {
            return new Reader(start).readHead();
        } catch (IndexOutOfBoundsException e) {
            throw new MalformedCallException("the frame ends before the call does");
        }
    }

    /** Reads the call from one frame. */
    final class Reader {
        private static final int MAX_DEPTH = 8;
        private static final int MAX_ENTRIES = 256;
        private static final int MAX_NAME_BYTES = 64;
        private static final String DISPATCH = "dispatch";

        private final ByteBuf in;

        Reader(ByteBuf in) {
            this.in = in;
        }

        /** Reads a whole call. */
        ThriftCall readCall() throws MalformedCallException {
            Head head = readHead();
            return switch (head.method()) {
                case DISPATCH -> readDispatch(head.seqid());
                case "cancelRequest" -> readCancelRequest(head.seqid());
                case "alive" -> {
                    skipStruct(0);
                    yield new Alive(head.seqid());
                }
                default -> new UnknownMethod(head.seqid(), head.method());
            };
        }

        /** Reads the start of a call. */
        Head readHead() throws MalformedCallException {
            int versionAndType = in.readInt();
            if ((versionAndType & 0xFFFF0000) != ThriftProtocol.VERSION) {
                throw new MalformedCallException("no version of the strict binary protocol");
            }
            int type = versionAndType & 0xFF;
            if (type != ThriftProtocol.CALL && type != ThriftProtocol.ONEWAY) {
                throw new MalformedCallException("message type " + type + " is not a call");
            }
            String method = readString(MAX_NAME_BYTES);
            return new Head(method, in.readInt());
        }

        private ThriftCall readDispatch(int seqid) throws MalformedCallException {
            Map<String, String> fields = Map.of();
            ByteBuf body = in.slice(in.readerIndex(), 0);
            for (int type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
                int field = in.readShort();
                if (field == 1 && type == ThriftProtocol.MAP) {
                    fields = readFields();
                } else if (field == 2 && type == ThriftProtocol.STRING) {
                    body = in.readSlice(readLength(in.readableBytes()));
                } else {
                    skip(type, 0);
                }
            }
            return new Dispatch(seqid, fields, body);
        }

        private ThriftCall readCancelRequest(int seqid) throws MalformedCallException {
            int cancelled = 0;
            for (int type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
                int field = in.readShort();
                if (field == 1 && type == ThriftProtocol.I32) {
                    cancelled = in.readInt();
                } else {
                    skip(type, 0);
                }
            }
            return new CancelRequest(seqid, cancelled);
        }

        private Map<String, String> readFields() throws MalformedCallException {
            int keyType = in.readByte();
            int valueType = in.readByte();
            int size = in.readInt();
            if (size < 0 || size > MAX_ENTRIES) {
                throw new MalformedCallException("invalid map size " + size);
            }
            if (size > 0 && (keyType != ThriftProtocol.STRING || valueType != ThriftProtocol.STRING)) {
                throw new MalformedCallException("the map of fields has keys or values that are not strings");
            }
            Map<String, String> fields = new HashMap<>();
            for (int i = 0; i < size; i++) {
                String name = readString(in.readableBytes());
                fields.put(name, readString(in.readableBytes()));
            }
            return fields;
        }

        private String readString(int max) throws MalformedCallException {
            int length = readLength(max);
            String text = in.toString(in.readerIndex(), length, StandardCharsets.UTF_8);
            in.skipBytes(length);
            return text;
        }

        private int readLength(int max) throws MalformedCallException {
            int length = in.readInt();
            if (length < 0 || length > max || length > in.readableBytes()) {
                throw new MalformedCallException("invalid string length " + length);
            }
            return length;
        }

        private void skipStruct(int depth) throws MalformedCallException {
            for (int type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
                in.skipBytes(Short.BYTES);
                skip(type, depth);
            }
        }

        /** Skips the value of a field that this version doesn't know. */
        private void skip(int type, int depth) throws MalformedCallException {
            if (depth > MAX_DEPTH) {
                throw new MalformedCallException("structs or collections are nested too deeply");
            }
            switch (type) {
                case ThriftProtocol.BOOL, ThriftProtocol.BYTE -> in.skipBytes(1);
                case ThriftProtocol.I16 -> in.skipBytes(Short.BYTES);
                case ThriftProtocol.I32 -> in.skipBytes(Integer.BYTES);
                case ThriftProtocol.I64, ThriftProtocol.DOUBLE -> in.skipBytes(Long.BYTES);
                case ThriftProtocol.STRING -> in.skipBytes(readLength(in.readableBytes()));
                case ThriftProtocol.STRUCT -> skipStruct(depth + 1);
                case ThriftProtocol.MAP -> {
                    int keyType = in.readByte();
                    int valueType = in.readByte();
                    for (int remaining = readSize(); remaining > 0; remaining--) {
                        skip(keyType, depth + 1);
                        skip(valueType, depth + 1);
                    }
                }
                case ThriftProtocol.SET, ThriftProtocol.LIST -> {
                    int itemType = in.readByte();
                    for (int remaining = readSize(); remaining > 0; remaining--) {
                        skip(itemType, depth + 1);
                    }
                }
                default -> throw new MalformedCallException("unknown field type " + type);
            }
        }

        private int readSize() throws MalformedCallException {
            int size = in.readInt();
            if (size < 0 || size > in.readableBytes()) {
                throw new MalformedCallException("invalid collection size " + size);
            }
            return size;
        }
    }
}
