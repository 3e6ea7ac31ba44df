package barleyspur.channel;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts a stream into lines, without their line feeds. */
final class LineDecoder extends ByteToMessageDecoder {

    private final int maxLine;
    /** How much of what is left is known to hold no line feed. */
    private int searched;

    LineDecoder(int maxLine) {
        this.maxLine = maxLine;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        int start = in.readerIndex();
        int end = in.indexOf(start + searched, in.writerIndex(), (byte) '\n');
        int length = (end < 0 ? in.writerIndex() : end) - start;
        if (length > maxLine) {
            // Else what is left would be read, and complained of, once more when the connection ends.
            in.skipBytes(in.readableBytes());
            throw new TooLongFrameException("a line of over " + maxLine + " bytes");
        }
        if (end < 0) {
            searched = length;
            return;
        }
        searched = 0;
        out.add(in.readCharSequence(length, StandardCharsets.UTF_8).toString());
        in.skipBytes(1);
    }
}
