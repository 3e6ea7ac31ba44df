package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.Map;

/** Constants of Thrift's strict binary protocol, and the encoding of the messages that a doorman sends. */
final class Thrift {

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
    private static final int SMALL = 128;

    private Thrift() {}

    /**
     * Encodes the start of an {@code Answer} struct up to its body. The {@code bodyBytes} bytes of the body and then
     * {@link #answerTail} have to follow.
     */
    static ByteBuf answerHead(ByteBufAllocator alloc, String method, int seqid, int bodyBytes, int tailBytes) {
        ByteBuf out = open(alloc, REPLY, method, seqid);
        field(out, STRUCT, SUCCESS);
        field(out, STRING, 1);
        out.writeInt(bodyBytes);
        return close(out, bodyBytes + tailBytes);
    }

    /** Encodes what follows the body of an {@code Answer}. */
    static ByteBuf answerTail(ByteBufAllocator alloc, Map<String, String> fields, boolean good) {
        ByteBuf out = alloc.buffer(SMALL);
        fields(out, 2, fields);
        field(out, BOOL, 3);
        out.writeByte(good ? 1 : 0);
        return out.writeByte(STOP).writeByte(STOP);
    }

    /** Encodes the declared exception {@code Busy}. */
    static ByteBuf busy(ByteBufAllocator alloc, String method, int seqid, Map<String, String> fields) {
        return thrown(alloc, method, seqid, REFUSED, fields);
    }

    /** Encodes the declared exception {@code Failed}. */
    static ByteBuf failed(ByteBufAllocator alloc, String method, int seqid) {
        return thrown(alloc, method, seqid, FAILED, Map.of());
    }

    private static ByteBuf thrown(
            ByteBufAllocator alloc, String method, int seqid, int id, Map<String, String> fields) {
        ByteBuf out = open(alloc, REPLY, method, seqid);
        field(out, STRUCT, id);
        fields(out, 1, fields);
        out.writeByte(STOP).writeByte(STOP);
        return close(out, 0);
    }

    /** Encodes an application exception. */
    static ByteBuf exception(ByteBufAllocator alloc, String method, int seqid, int kind, String message) {
        ByteBuf out = open(alloc, EXCEPTION, method, seqid);
        field(out, STRING, 1);
        text(out, message);
        field(out, I32, 2);
        out.writeInt(kind).writeByte(STOP);
        return close(out, 0);
    }

    private static ByteBuf open(ByteBufAllocator alloc, int type, String method, int seqid) {
        ByteBuf out = alloc.buffer(SMALL);
        out.writeInt(0).writeInt(VERSION | type);
        text(out, method);
        return out.writeInt(seqid);
    }

    /** Sets the frame's length, including {@code more} bytes that are sent after this buffer. */
    private static ByteBuf close(ByteBuf out, int more) {
        return out.setInt(out.readerIndex(), out.readableBytes() - Integer.BYTES + more);
    }

    private static void field(ByteBuf out, byte type, int id) {
        out.writeByte(type).writeShort(id);
    }

    private static void fields(ByteBuf out, int id, Map<String, String> fields) {
        field(out, MAP, id);
        out.writeByte(STRING).writeByte(STRING).writeInt(fields.size());
        fields.forEach((name, value) -> {
            text(out, name);
            text(out, value);
        });
    }

    private static void text(ByteBuf out, String text) {
        int at = out.writerIndex();
        out.writeInt(0);
        out.setInt(at, ByteBufUtil.writeUtf8(out, text));
    }
}
