package barleyspur.front.thrift;

import barleyspur.transport.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.function.LongConsumer;

/**
 * Splits a stream into Thrift frames.
 *
 * <p>Of a frame that has been received in part, the decoder holds the bytes in a buffer of its own, which is reserved in
 * a budget as it grows. If the budget refuses, the rest of the frame is skipped as it arrives, and the frame is passed on
 * as an {@link UnheldFrame}. So the socket is read in any case: a close or a cancel behind the frame is noticed, and the
 * frame takes no memory.
 */
final class ThriftFrameDecoder extends ChannelInboundHandlerAdapter {

    /** A complete frame that was skipped; only the head of its call is known. */
    record UnheldFrame(ThriftCall.Head head) {}

    private static final int LENGTH_BYTES = Integer.BYTES;
    /** The first bytes of a frame, which contain the head of its call. They are held without a reservation. */
    private static final int HEAD_BYTES = LENGTH_BYTES + ThriftCall.Head.MAX_BYTES;

    private final int maxFrameBytes;
    private final ByteBudget.Share share;
    /** The bytes received so far of an incomplete frame, its length included; null between frames. */
    private ByteBuf partial;
    /** The head of the frame that is being skipped, or null. */
    private ThriftCall.Head skippedHead;

    private int skippedBytesLeft;
    private long frameCount;
    private boolean discarding;
    private long discardedBytes;
    private LongConsumer onDiscarded = bytes -> {};

    /** Creates a decoder that reserves the memory of partial frames in {@code share}. */
    ThriftFrameDecoder(int maxFrameBytes, ByteBudget.Share share) {
        this.maxFrameBytes = maxFrameBytes;
        this.share = share;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws ThriftCall.MalformedCallException {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable()) {
                decode(ctx, in);
            }
        } finally {
            in.release();
        }
    }

    private void decode(ChannelHandlerContext ctx, ByteBuf in) throws ThriftCall.MalformedCallException {
        if (discarding) {
            discardedBytes += in.readableBytes();
            in.skipBytes(in.readableBytes());
            onDiscarded.accept(discardedBytes);
        } else if (skippedHead != null) {
            skip(ctx, in);
        } else if (partial == null && containsFrame(in)) {
            int length = in.readInt();
            passOn(ctx, in.readRetainedSlice(length));
        } else {
            continuePartial(ctx, in);
        }
    }

    private boolean containsFrame(ByteBuf in) {
        return in.readableBytes() >= LENGTH_BYTES && in.readableBytes() >= frameBytes(in);
    }

    /** Returns the size of the frame at the start of {@code in}, its length included. */
    private int frameBytes(ByteBuf in) {
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > maxFrameBytes) {
            startDiscarding();
            throw new CorruptedFrameException("invalid frame length " + (length & 0xFFFFFFFFL));
        }
        return LENGTH_BYTES + length;
    }

    private void continuePartial(ChannelHandlerContext ctx, ByteBuf in) throws ThriftCall.MalformedCallException {
        if (partial == null) {
            partial = ctx.alloc().buffer(HEAD_BYTES, HEAD_BYTES);
        }
        if (partial.readableBytes() < LENGTH_BYTES) {
            partial.writeBytes(in, Math.min(in.readableBytes(), LENGTH_BYTES - partial.readableBytes()));
            return;
        }
        int frameBytes = frameBytes(partial);
        int missingBytes = frameBytes - partial.readableBytes();
        int bytes = Math.min(in.readableBytes(), missingBytes);
        if (!ensureWritable(ctx.alloc(), bytes, frameBytes)) {
            startSkipping(in, frameBytes);
            return;
        }
        partial.writeBytes(in, bytes);
        if (bytes == missingBytes) {
            ByteBuf frame = partial.skipBytes(LENGTH_BYTES);
            partial = null;
            share.releaseAll();
            passOn(ctx, frame);
        }
    }

    private void passOn(ChannelHandlerContext ctx, Object frame) {
        frameCount++;
        ctx.fireChannelRead(frame);
    }

    /** Grows the buffer of the partial frame if necessary; returns false if the budget doesn't allow that. */
    private boolean ensureWritable(ByteBufAllocator alloc, int bytes, int frameBytes) {
        if (bytes <= partial.writableBytes()) {
            return true;
        }
        int capacity = Math.min(frameBytes, Math.max(2 * partial.capacity(), partial.readableBytes() + bytes));
        if (!share.tryReserve(capacity - share.bytes())) {
            return false;
        }
        ByteBuf larger = alloc.buffer(capacity, capacity).writeBytes(partial);
        partial.release();
        partial = larger;
        return true;
    }

    /** Skips the partial frame, whose head has been received, and what is still to come of it. */
    private void startSkipping(ByteBuf in, int frameBytes) throws ThriftCall.MalformedCallException {
        if (partial.readableBytes() < HEAD_BYTES) {
            partial.writeBytes(in, HEAD_BYTES - partial.readableBytes());
        }
        skippedBytesLeft = frameBytes - partial.readableBytes();
        ThriftCall.Head head = ThriftCall.parseHead(partial.skipBytes(LENGTH_BYTES));
        releasePartial();
        skippedHead = head;
    }

    private void skip(ChannelHandlerContext ctx, ByteBuf in) {
        int bytes = Math.min(in.readableBytes(), skippedBytesLeft);
        in.skipBytes(bytes);
        skippedBytesLeft -= bytes;
        if (skippedBytesLeft == 0) {
            UnheldFrame frame = new UnheldFrame(skippedHead);
            skippedHead = null;
            passOn(ctx, frame);
        }
    }

    private void releasePartial() {
        if (partial != null) {
            partial.release();
            partial = null;
            share.releaseAll();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releasePartial();
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        releasePartial();
    }

    /** Discards all input from now on, and reports how many bytes that were so far each time that there are more. */
    void startDiscarding(LongConsumer newOnDiscarded) {
        onDiscarded = newOnDiscarded;
        startDiscarding();
    }

    private void startDiscarding() {
        discarding = true;
        releasePartial();
    }

    /** Returns the number of complete frames that were received. */
    long frameCount() {
        return frameCount;
    }

    /** Whether part of a frame has been received. */
    boolean hasPartialFrame() {
        return partial != null || skippedHead != null;
    }
}
