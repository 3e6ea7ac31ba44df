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

/** What becomes of an answer that can't be written. */
class ResponseWriterTest implements Clock, ResponseWriter.Listener {

    private final List<String> told = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (failing) {
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
            new UnreadAnswers(1_000, full -> {}),
            new RateLimitedLog(LoggerFactory.getLogger("front"), this),
            () -> 5_000,
            this);
    private boolean failing;

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
        told.add("all written");
    }

    @Override
    public void stuck() {
        told.add("stuck");
    }

    @Override
    public void lost(Throwable cause) {
        told.add(cause.getMessage());
    }

    /** An answer goes out as one message: its parts can't part. */
    @Test
    void anAnswerIsOneMessage() {
        responses.served(7, "id", Unpooled.copiedBuffer(new byte[300]), Map.of());
        ByteBuf message = channel.readOutbound();
        assertEquals(message.readableBytes() - Integer.BYTES, message.getInt(message.readerIndex()));
        assertNull(channel.readOutbound());
        assertEquals(0, responses.unwritten());
        assertEquals(List.of("all written"), told);
        message.release();
    }

    /** Bytes that are gone make a failed answer, not a frame that never becomes whole. */
    @Test
    void anAnswerWhoseBytesAreGoneFails() {
        ByteBuf gone = Unpooled.copiedBuffer(new byte[300]);
        gone.release();
        responses.served(7, "id", gone, Map.of());
        ByteBuf message = channel.readOutbound();
        assertEquals(message.readableBytes() - Integer.BYTES, message.readInt());
        assertEquals(Thrift.VERSION | Thrift.REPLY, message.readInt());
        assertTrue(message.isReadable());
        message.release();
        assertEquals(0, responses.unwritten());
    }

    /** A client whose answer could not be written is not left to wait on an open connection. */
    @Test
    void anAnswerThatCantBeWrittenIsTold() {
        failing = true;
        responses.served(7, "id", Unpooled.copiedBuffer(new byte[300]), Map.of());
        assertEquals(List.of("no memory"), told);
        assertEquals(0, responses.unwritten());
    }
}
