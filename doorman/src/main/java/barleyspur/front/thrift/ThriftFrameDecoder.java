package barleyspur.front.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/** Splits a stream into Thrift frames, each a slice of the input buffer. */
final class ThriftFrameDecoder extends ByteToMessageDecoder {

    private static final int LENGTH_BYTES = 4;

    private final int maxFrameBytes;
    private long frameCount;
    private boolean discarding;
    private long discardedBytes;

    ThriftFrameDecoder(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (discarding) {
            discardedBytes += in.readableBytes();
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > maxFrameBytes) {
            // Otherwise the decoder would run on the rest again, and fail again, when the connection ends.
            in.skipBytes(in.readableBytes());
            throw new CorruptedFrameException("invalid frame length " + (length & 0xFFFFFFFFL));
        }
        if (in.readableBytes() >= LENGTH_BYTES + length) {
            in.skipBytes(LENGTH_BYTES);
            out.add(in.readRetainedSlice(length));
            frameCount++;
        }
    }

    /** Discards all input from now on. */
    void startDiscarding() {
        discarding = true;
    }

    /** Returns the number of bytes that were discarded. */
    long discardedBytes() {
        return discardedBytes;
    }

    /** Returns the number of complete frames that were received. */
    long frameCount() {
        return frameCount;
    }

    /** Whether part of a frame has been received. */
    boolean hasPartialFrame() {
        return actualReadableBytes() > 0;
    }
}
