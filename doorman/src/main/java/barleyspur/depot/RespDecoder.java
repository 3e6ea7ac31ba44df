package barleyspur.depot;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Decodes RESP arrays of bulk strings. A body is a slice of the input buffer. */
public final class RespDecoder extends ByteToMessageDecoder {

    /**
     * A message.
     *
     * @param strings the bulk strings but the body
     * @param body the fourth bulk string; null if there are fewer than four
     */
    public record Message(List<String> strings, ByteBuf body) {}

    private static final int MAX_ITEMS = 8;
    private static final int BODY_INDEX = 3;
    private static final int MAX_STRING_BYTES = 4_096;
    /** An object is at most 240,000 bytes long. */
    private static final int MAX_BODY_BYTES = 256 * 1024;

    private static final int MAX_DIGITS = 8;

    /** The position up to which the current message has been read. */
    private int position;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            decodeMessage(in, out);
        } catch (CorruptedFrameException e) {
            // Discards the rest. Otherwise the same bytes would be decoded and reported again when the connection ends.
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    /** Returns whether part of a message has arrived. */
    boolean hasPartialMessage() {
        return actualReadableBytes() > 0;
    }

    private void decodeMessage(ByteBuf in, List<Object> out) {
        position = in.readerIndex();
        int items = readLength(in, '*');
        if (items < 0) {
            return;
        }
        if (items == 0 || items > MAX_ITEMS) {
            throw new CorruptedFrameException("invalid array length " + items);
        }
        List<String> strings = new ArrayList<>(items);
        int bodyStart = 0;
        int bodyBytes = 0;
        for (int i = 0; i < items; i++) {
            int length = readLength(in, '$');
            if (length < 0) {
                return;
            }
            if (length > (i == BODY_INDEX ? MAX_BODY_BYTES : MAX_STRING_BYTES)) {
                throw new CorruptedFrameException("bulk string too long: " + length);
            }
            if (in.writerIndex() - position < length + Resp.CRLF.length) {
                return;
            }
            if (in.getByte(position + length) != Resp.CRLF[0] || in.getByte(position + length + 1) != Resp.CRLF[1]) {
                throw new CorruptedFrameException("bulk string not terminated by CRLF");
            }
            if (i == BODY_INDEX) {
                bodyStart = position;
                bodyBytes = length;
            } else {
                strings.add(in.toString(position, length, StandardCharsets.UTF_8));
            }
            position += length + Resp.CRLF.length;
        }
        out.add(new Message(strings, items > BODY_INDEX ? in.retainedSlice(bodyStart, bodyBytes) : null));
        in.readerIndex(position);
    }

    /** Reads the number on a line that starts with {@code typeMarker}; returns -1 if the line is incomplete. */
    private int readLength(ByteBuf in, char typeMarker) {
        int end = in.writerIndex();
        if (position >= end) {
            return -1;
        }
        if (in.getByte(position) != typeMarker) {
            throw new CorruptedFrameException("expected '" + typeMarker + "'");
        }
        int value = 0;
        for (int i = position + 1; i < end; i++) {
            byte b = in.getByte(i);
            int digits = i - position - 1;
            if (b >= '0' && b <= '9' && digits < MAX_DIGITS) {
                value = value * 10 + b - '0';
            } else if (b == Resp.CRLF[0] && digits > 0) {
                if (i + 1 >= end) {
                    return -1;
                }
                if (in.getByte(i + 1) != Resp.CRLF[1]) {
                    throw new CorruptedFrameException("line not terminated by CRLF");
                }
                position = i + Resp.CRLF.length;
                return value;
            } else {
                throw new CorruptedFrameException("invalid length after '" + typeMarker + "'");
            }
        }
        return -1;
    }
}
