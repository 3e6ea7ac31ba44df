package barleyspur.front.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Encoding of responses and handling of failed writes. */
class ResponseWriterTest implements Clock, ResponseWriter.Listener {

    private final List<String> events = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (writesFail) {
                ((ByteBuf) message).release();
                promise.setFailure(new IllegalStateException("no memory"));
            } else {
                ctx.write(message, promise);
            }
        }
    });
    private final ResponseWriter responses = new ResponseWriter(
            channel,
            this,
            new ResponseBackpressure(1_000, overLimit -> {}),
            new RateLimitedLog(LoggerFactory.getLogger("front"), this),
            () -> 5_000,
            2,
            this);
    private boolean writesFail;

    @Override
    public double nowMs() {
        return 0;
    }

    @Override
    public Timer schedule(double delayMs, Runnable task) {
        return () -> {};
    }

    @Override
    public void allWritten() {
        events.add("all written");
    }

    @Override
    public void stalled() {
        events.add("stalled");
    }

    @Override
    public void writeFailed(Throwable cause) {
        events.add(cause.getMessage());
    }

    /** A response is written as a single message, so that no part of it can fail separately. */
    @Test
    void responseIsOneMessage() {
        responses.writeServed(7, "id", Unpooled.copiedBuffer(new byte[300]), Map.of());
        ByteBuf message = channel.readOutbound();
        assertEquals(message.readableBytes() - Integer.BYTES, message.getInt(message.readerIndex()));
        assertNull(channel.readOutbound());
        assertEquals(0, responses.unwritten());
        assertEquals(List.of("all written"), events);
        message.release();
    }

    /** A body that has already been released results in a failed response, not in an incomplete frame. */
    @Test
    void responseWithAReleasedBodyFails() {
        ByteBuf releasedBody = Unpooled.copiedBuffer(new byte[300]);
        releasedBody.release();
        responses.writeServed(7, "id", releasedBody, Map.of());
        ByteBuf message = channel.readOutbound();
        assertEquals(message.readableBytes() - Integer.BYTES, message.readInt());
        assertEquals(ThriftProtocol.VERSION | ThriftProtocol.REPLY, message.readInt());
        assertTrue(message.isReadable());
        message.release();
        assertEquals(0, responses.unwritten());
    }

    /** A failed write is reported, so that the client isn't left waiting on an open connection. */
    @Test
    void failedWriteIsReported() {
        writesFail = true;
        responses.writeServed(7, "id", Unpooled.copiedBuffer(new byte[300]), Map.of());
        assertEquals(List.of("no memory"), events);
        assertEquals(0, responses.unwritten());
    }
}
