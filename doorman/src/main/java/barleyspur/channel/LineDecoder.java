package barleyspur.channel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Splits a stream into lines, without their line feeds. */
final class LineDecoder extends ByteToMessageDecoder {

    private final int maxLineBytes;
    /** The number of pending bytes already searched for a line feed. */
    private int searchedBytes;

    LineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int start = in.readerIndex();
        int end = in.indexOf(start + searchedBytes, in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - start;
        if (length > maxLineBytes) {
            // Discards the rest. Otherwise the same bytes would be decoded and reported again when the connection ends.
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("line longer than " + maxLineBytes + " bytes");
        }
        if (end < 0) {
            searchedBytes = length;
            return;
        }
        searchedBytes = 0;
        out.add(in.readCharSequence(length, StandardCharsets.UTF_8).toString());
        in.skipBytes(1);
    }
}
