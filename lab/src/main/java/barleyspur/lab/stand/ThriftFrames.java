package barleyspur.lab.stand;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes the calls of clients as frames of the strict binary Thrift protocol, and reads what answers begin with. */
public final class ThriftFrames {

    /** The outcome of a request, by the part of the answer that is set. */
    public enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        /** An application exception instead of an answer. */
        EXCEPTION
    }

    /**
     * The beginning of an answer.
     *
     * @param sequenceNumber the sequence number of its call
     */
    public record Answer(String method, int sequenceNumber, Outcome outcome) {}

    private static final int CALL_HEADER = 0x80010001;
    private static final int REPLY_TYPE = 2;
    private static final int TEXT_TYPE = 11;
    private static final int STRUCT_TYPE = 12;
    private static final int MAP_TYPE = 13;
    private static final int STOP = 0;
    private static final int SERVED_FIELD = 0;
    private static final int REFUSED_FIELD = 1;

    private ThriftFrames() {}

    /** Returns the call {@code alive}. */
    public static ByteBuf alive(int sequenceNumber) {
        return finish(begin("alive", sequenceNumber).writeByte(STOP));
    }

    /** Returns the call {@code dispatch} with these fields and an empty body. */
    public static ByteBuf dispatch(int sequenceNumber, Map<String, String> fields) {
        return dispatch(sequenceNumber, fields, 0);
    }

    /** Returns the call {@code dispatch} with these fields and a body of zeros. */
    public static ByteBuf dispatch(int sequenceNumber, Map<String, String> fields, int bodyBytes) {
        ByteBuf frame = begin("dispatch", sequenceNumber);
        frame.writeByte(MAP_TYPE).writeShort(1).writeByte(TEXT_TYPE).writeByte(TEXT_TYPE);
        frame.writeInt(fields.size());
        fields.forEach((name, value) -> writeText(writeText(frame, name), value));
        frame.writeByte(TEXT_TYPE).writeShort(2);
        return finish(frame.writeInt(bodyBytes).writeZero(bodyBytes).writeByte(STOP));
    }

    /** Reads the beginning of an answer from a frame without its length. */
    public static Answer readAnswer(ByteBuf frame) {
        boolean reply = (frame.readInt() & 0xFF) == REPLY_TYPE;
        String method = frame.readCharSequence(frame.readInt(), StandardCharsets.US_ASCII)
                .toString();
        int sequenceNumber = frame.readInt();
        if (!reply || frame.readByte() != STRUCT_TYPE) {
            return new Answer(method, sequenceNumber, reply ? Outcome.FAILED : Outcome.EXCEPTION);
        }
        int field = frame.readShort();
        Outcome outcome =
                field == SERVED_FIELD ? Outcome.SERVED : field == REFUSED_FIELD ? Outcome.REFUSED : Outcome.FAILED;
        return new Answer(method, sequenceNumber, outcome);
    }

    private static ByteBuf begin(String method, int sequenceNumber) {
        return writeText(Unpooled.buffer().writeInt(0).writeInt(CALL_HEADER), method)
                .writeInt(sequenceNumber);
    }

    private static ByteBuf finish(ByteBuf frame) {
        return frame.setInt(0, frame.readableBytes() - Integer.BYTES);
    }

    private static ByteBuf writeText(ByteBuf out, String text) {
        return out.writeInt(text.length()).writeBytes(text.getBytes(StandardCharsets.US_ASCII));
    }
}
