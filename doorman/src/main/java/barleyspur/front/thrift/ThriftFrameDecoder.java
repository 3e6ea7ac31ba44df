package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/** Cuts a stream into Thrift frames, each a slice of what was read. */
final class ThriftFrameDecoder extends ByteToMessageDecoder {

    private static final int LENGTH_BYTES = 4;

    private final int maxFrame;
    private long frames;
    private boolean discarding;
    private long discarded;

    ThriftFrameDecoder(int maxFrame) {
        this.maxFrame = maxFrame;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (discarding) {
            discarded += in.readableBytes();
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > maxFrame) {
            // Else what is left would be read, and complained of, once more when the connection ends.
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("a frame of " + (length & 0xFFFFFFFFL) + " bytes");
        }
        if (in.readableBytes() >= LENGTH_BYTES + length) {
            in.skipBytes(LENGTH_BYTES);
            out.add(in.readRetainedSlice(length));
            frames++;
        }
    }

    /** From here on all that comes is thrown away. */
    void discard() {
        discarding = true;
    }

    /** How many bytes were thrown away. */
    long discarded() {
        return discarded;
    }

    /** How many whole frames have come. */
    long frames() {
        return frames;
    }

    /** Whether a frame has begun that is not whole. */
    boolean midFrame() {
        return actualReadableBytes() > 0;
    }
}
