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
    public record Message(List<String> words, ByteBuf body) {}

    private static final int MOST_ITEMS = 8;
    private static final int BODY_AT = 3;
    private static final int MAX_WORD = 4_096;
    /** An object is at most 240,000 bytes long. */
    private static final int MAX_BODY = 256 * 1024;

    private static final int MAX_DIGITS = 8;

    /** The position up to which the current message has been read. */
    private int at;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            message(in, out);
        } catch (CorruptedFrameException e) {
            // Discards the rest. Otherwise the same bytes would be decoded and reported again when the connection ends.
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    /** Returns whether part of a message has arrived. */
    boolean midMessage() {
        return actualReadableBytes() > 0;
    }

    private void message(ByteBuf in, List<Object> out) {
        at = in.readerIndex();
        int items = line(in, '*');
        if (items < 0) {
            return;
        }
        if (items == 0 || items > MOST_ITEMS) {
            throw new CorruptedFrameException("invalid array length " + items);
        }
        List<String> words = new ArrayList<>(items);
        int bodyAt = 0;
        int bodyBytes = 0;
        for (int i = 0; i < items; i++) {
            int length = line(in, '$');
            if (length < 0) {
                return;
            }
            if (length > (i == BODY_AT ? MAX_BODY : MAX_WORD)) {
                throw new CorruptedFrameException("bulk string too long: " + length + " bytes");
            }
            if (in.writerIndex() - at < length + Resp.END.length) {
                return;
            }
            if (in.getByte(at + length) != Resp.END[0] || in.getByte(at + length + 1) != Resp.END[1]) {
                throw new CorruptedFrameException("bulk string not terminated by CRLF");
            }
            if (i == BODY_AT) {
                bodyAt = at;
                bodyBytes = length;
            } else {
                words.add(in.toString(at, length, StandardCharsets.UTF_8));
            }
            at += length + Resp.END.length;
        }
        out.add(new Message(words, items > BODY_AT ? in.retainedSlice(bodyAt, bodyBytes) : null));
        in.readerIndex(at);
    }

    /** Reads the number on a line that starts with {@code typeMarker}; returns -1 if the line is incomplete. */
    private int line(ByteBuf in, char mark) {
        int end = in.writerIndex();
        if (at >= end) {
            return -1;
        }
        if (in.getByte(at) != mark) {
            throw new CorruptedFrameException("expected '" + mark + "'");
        }
        int value = 0;
        for (int i = at + 1; i < end; i++) {
            byte b = in.getByte(i);
            int digits = i - at - 1;
            if (b >= '0' && b <= '9' && digits < MAX_DIGITS) {
                value = value * 10 + b - '0';
            } else if (b == Resp.END[0] && digits > 0) {
                if (i + 1 >= end) {
                    return -1;
                }
                if (in.getByte(i + 1) != Resp.END[1]) {
                    throw new CorruptedFrameException("line not terminated by CRLF");
                }
                at = i + Resp.END.length;
                return value;
            } else {
                throw new CorruptedFrameException("invalid length after '" + mark + "'");
            }
        }
        return -1;
    }
}
