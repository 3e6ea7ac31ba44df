package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.Map;

/** Constants of Thrift's strict binary protocol, and the encoding of the messages that a doorman sends. */
final class ThriftProtocol {

    static final int VERSION = 0x80010000;
    static final int CALL = 1;
    static final int REPLY = 2;
    static final int EXCEPTION = 3;
    static final int ONEWAY = 4;

    static final byte STOP = 0;
    static final byte BOOL = 2;
    static final byte BYTE = 3;
    static final byte DOUBLE = 4;
    static final byte I16 = 6;
    static final byte I32 = 8;
    static final byte I64 = 10;
    static final byte STRING = 11;
    static final byte STRUCT = 12;
    static final byte MAP = 13;
    static final byte SET = 14;
    static final byte LIST = 15;

    /** Types of application exception. */
    static final int UNKNOWN_METHOD = 1;

    static final int PROTOCOL_ERROR = 7;

    private static final int SUCCESS = 0;
    private static final int REFUSED = 1;
    private static final int FAILED = 2;
    private static final int INITIAL_CAPACITY = 128;

    private ThriftProtocol() {}

    /**
     * Encodes the start of an {@code Answer} struct up to its body. The {@code bodyBytes} bytes of the body and then
     * {@link #encodeResponseEnd} have to follow.
     */
    static ByteBuf encodeResponseStart(ByteBufAllocator alloc, String method, int seqid, int bodyBytes, int tailBytes) {
        ByteBuf out = startFrame(alloc, REPLY, method, seqid);
        writeFieldHeader(out, STRUCT, SUCCESS);
        writeFieldHeader(out, STRING, 1);
        out.writeInt(bodyBytes);
        return finishFrame(out, bodyBytes + tailBytes);
    }

    /** Encodes what follows the body of an {@code Answer}. */
    static ByteBuf encodeResponseEnd(ByteBufAllocator alloc, Map<String, String> fields, boolean success) {
        ByteBuf out = alloc.buffer(INITIAL_CAPACITY);
        writeMap(out, 2, fields);
        writeFieldHeader(out, BOOL, 3);
        out.writeByte(success ? 1 : 0);
        return out.writeByte(STOP).writeByte(STOP);
    }

    /** Encodes the declared exception {@code Busy}. */
    static ByteBuf encodeBusy(ByteBufAllocator alloc, String method, int seqid, Map<String, String> fields) {
        return encodeDeclaredException(alloc, method, seqid, REFUSED, fields);
    }

    /** Encodes the declared exception {@code Failed}. */
    static ByteBuf encodeFailed(ByteBufAllocator alloc, String method, int seqid) {
        return encodeDeclaredException(alloc, method, seqid, FAILED, Map.of());
    }

    private static ByteBuf encodeDeclaredException(
            ByteBufAllocator alloc, String method, int seqid, int id, Map<String, String> fields) {
        ByteBuf out = startFrame(alloc, REPLY, method, seqid);
        writeFieldHeader(out, STRUCT, id);
        writeMap(out, 1, fields);
        out.writeByte(STOP).writeByte(STOP);
        return finishFrame(out, 0);
    }

    /** Encodes an application exception. */
    static ByteBuf encodeException(ByteBufAllocator alloc, String method, int seqid, int kind, String message) {
        ByteBuf out = startFrame(alloc, EXCEPTION, method, seqid);
        writeFieldHeader(out, STRING, 1);
        writeString(out, message);
        writeFieldHeader(out, I32, 2);
        out.writeInt(kind).writeByte(STOP);
        return finishFrame(out, 0);
    }

    private static ByteBuf startFrame(ByteBufAllocator alloc, int type, String method, int seqid) {
        ByteBuf out = alloc.buffer(INITIAL_CAPACITY);
        out.writeInt(0).writeInt(VERSION | type);
        writeString(out, method);
        return out.writeInt(seqid);
    }

    /** Sets the frame's length, including the {@code followingBytes} that are sent after this buffer. */
    private static ByteBuf finishFrame(ByteBuf out, int followingBytes) {
        return out.setInt(out.readerIndex(), out.readableBytes() - Integer.BYTES + followingBytes);
    }

    private static void writeFieldHeader(ByteBuf out, byte type, int id) {
        out.writeByte(type).writeShort(id);
    }

    private static void writeMap(ByteBuf out, int id, Map<String, String> fields) {
        writeFieldHeader(out, MAP, id);
        out.writeByte(STRING).writeByte(STRING).writeInt(fields.size());
        fields.forEach((name, value) -> {
            writeString(out, name);
            writeString(out, value);
        });
    }

    private static void writeString(ByteBuf out, String text) {
        int lengthIndex = out.writerIndex();
        out.writeInt(0);
        out.setInt(lengthIndex, ByteBufUtil.writeUtf8(out, text));
    }
}
