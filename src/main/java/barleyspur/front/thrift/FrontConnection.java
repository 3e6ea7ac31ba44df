package barleyspur.front.thrift;

import barleyspur.doorman.Ask;
import barleyspur.doorman.Caller;
import barleyspur.doorman.Doorman;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client connection: its open requests by sequence number. */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** No client waits this long for an answer: what is still unread then was for nobody. */
    private static final long STUCK_MS = 10_000;

    private final UnreadAnswers unread;
    private final Doorman doorman;
    private final List<String> classes;
    private final int mostOpen;
    private final Map<Integer, Pending> open = new HashMap<>();
    private Channel channel;
    private Future<?> stuck;
    private long lastReadNanos = System.nanoTime();

    FrontConnection(UnreadAnswers unread, Doorman doorman, List<String> classes, int mostOpen) {
        this.unread = unread;
        this.doorman = doorman;
        this.classes = classes;
        this.mostOpen = mostOpen;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws ThriftCall.Malformed {
        lastReadNanos = System.nanoTime();
        ThriftCall call = ThriftCall.read(frame);
        if (call instanceof ThriftCall.Dispatch c) {
            dispatch(c);
        } else if (call instanceof ThriftCall.CancelRequest c) {
            Pending cancelled = open.remove(c.cancelled());
            if (cancelled != null) {
                cancelled.leave();
            }
        } else if (call instanceof ThriftCall.Alive c) {
            answer("alive", c.seqid(), Unpooled.EMPTY_BUFFER, Map.of(), !doorman.draining());
        } else if (call instanceof ThriftCall.Unknown c) {
            LOG.warn("client {}: unknown method {}", channel.remoteAddress(), c.method());
            write(Thrift.exception(channel.alloc(), c.method(), c.seqid(), Thrift.UNKNOWN_METHOD, "unknown method"));
        }
    }

    private void dispatch(ThriftCall.Dispatch call) throws ThriftCall.Malformed {
        int seqid = call.seqid();
        if (open.containsKey(seqid)) {
            throw new ThriftCall.Malformed("sequence number " + seqid + " is in use");
        }
        Ask ask;
        try {
            ask = RequestFields.read(call.fields(), call.body(), classes);
        } catch (IllegalArgumentException e) {
            LOG.warn("client {}: bad request: {}", channel.remoteAddress(), e.getMessage());
            write(Thrift.exception(channel.alloc(), DISPATCH, seqid, Thrift.PROTOCOL_ERROR, e.getMessage()));
            return;
        }
        if (open.size() >= mostOpen || unread.full()) {
            LOG.warn("client {}: refused, {} requests are open here{}", channel.remoteAddress(), open.size(),
                unread.full() ? " and too much is unread" : "");
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, Map.of()));
            return;
        }
        Pending x = new Pending(seqid);
        open.put(seqid, x);
        // The body outlives the frame that it is a slice of: until the request is over.
        call.body().retain();
        x.ticket = doorman.take(ask, x);
    }

    /** One open request of this connection. */
    private final class Pending implements Caller {
        private final int seqid;
        private Doorman.Ticket ticket;

        Pending(int seqid) {
            this.seqid = seqid;
        }

        void leave() {
            ticket.gone();
        }

        @Override
        public void served(ByteBuf body, String tag) {
            open.remove(seqid);
            answer(DISPATCH, seqid, body, tag == null ? Map.of() : Map.of("etag", tag), true);
        }

        @Override
        public void unchanged(String tag) {
            open.remove(seqid);
            Map<String, String> fields = tag == null ? Map.of("notmod", "1") : Map.of("notmod", "1", "etag", tag);
            answer(DISPATCH, seqid, Unpooled.EMPTY_BUFFER, fields, true);
        }

        @Override
        public void refused(double pauseMs) {
            open.remove(seqid);
            Map<String, String> advice = pauseMs > 0 ? Map.of("w", Long.toString(Math.round(pauseMs))) : Map.of();
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, advice));
        }

        @Override
        public void failed() {
            open.remove(seqid);
            write(Thrift.failed(channel.alloc(), DISPATCH, seqid));
        }
    }

    /** Head, body and tail go out as they are: the body is not copied. */
    private void answer(String method, int seqid, ByteBuf body, Map<String, String> fields, boolean good) {
        ByteBuf tail = Thrift.answerTail(channel.alloc(), fields, good);
        int bodyBytes = body.readableBytes();
        channel.write(Thrift.answerHead(channel.alloc(), method, seqid, bodyBytes, tail.readableBytes()));
        channel.write(body);
        unread.add(bodyBytes);
        channel.writeAndFlush(tail).addListener(written -> unread.add(-bodyBytes));
    }

    /** Closes the connection of a client that has vanished without a word. */
    void closeIfIdle(long idleMs) {
        if (open.isEmpty() && System.nanoTime() - lastReadNanos > TimeUnit.MILLISECONDS.toNanos(idleMs)) {
            channel.close();
        }
    }

    private void write(ByteBuf message) {
        channel.writeAndFlush(message, channel.voidPromise());
    }

    /** Back-pressure: from a client that does not read its answers nothing more is read, and at last it is left. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        boolean writable = channel.isWritable();
        channel.config().setAutoRead(writable);
        if (stuck != null) {
            stuck.cancel(false);
            stuck = null;
        }
        if (!writable && channel.isActive()) {
            stuck = channel.eventLoop().schedule(() -> {
                LOG.warn("client {}: connection closed: it does not read its answers", channel.remoteAddress());
                channel.close();
            }, STUCK_MS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (stuck != null) {
            stuck.cancel(false);
        }
        List<Pending> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(Pending::leave);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("client {}: connection lost: {}", ctx.channel().remoteAddress(), cause.getMessage());
        } else {
            LOG.warn("client {}: connection closed: {}", ctx.channel().remoteAddress(), cause.toString());
        }
        ctx.close();
    }
}
