package barleyspur.front.thrift;

import barleyspur.doorman.Ask;
import barleyspur.doorman.Caller;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.duty.Duty;
import barleyspur.log.LogEvent;
import barleyspur.retune.ClassTable;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One client connection: its open requests by sequence number. */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** No client waits this long for an answer: what is still unread then was for nobody. */
    static final double STUCK_MS = 10_000;
    /** How long a client may take over its first whole request, or over the rest of one that it began. */
    static final int HALF_SENT_MS = 2_000;
    /** How long a client has to read a last error before its connection is closed. */
    static final double LAST_WORD_MS = 500;
    private static final long MOST_DISCARDED = 256 * 1024;
    /** How long a client that is sent away for a drain or an upgrade is told to stay away: its connection closes. */
    static final long AWAY_MS = 50;
    /** Requests that can't be used, after which a connection with nothing open is closed. */
    private static final int MOST_BAD = 8;

    /** What all connections of one front have in common. */
    record Shared(Doorman doorman, Clock clock, Supplier<ClassTable> classes, int mostOpen, UnreadAnswers unread,
                  Crowd<FrontConnection> crowd, CappedLog log, Duty duty) { }

    private final Shared front;
    private final UnreadAnswers unread;
    private final Doorman doorman;
    private final CappedLog log;
    private final ThriftFrameDecoder decoder;
    private final Map<Integer, Pending> open = new HashMap<>();
    private Channel channel;
    private Clock.Timer stuck;
    private Clock.Timer halfSent;
    private boolean useful;
    private boolean leaving;
    private int bad;
    /** Answers and errors written and not yet out. */
    private int unwritten;

    FrontConnection(Shared front, ThriftFrameDecoder decoder) {
        this.front = front;
        this.unread = front.unread();
        this.doorman = front.doorman();
        this.log = front.log();
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        front.crowd().came(this, front.clock().nowMs());
        watch();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws ThriftCall.Malformed {
        if (leaving) {
            return;
        }
        ThriftCall call = ThriftCall.read(frame);
        if (call instanceof ThriftCall.Dispatch c) {
            dispatch(c);
        } else if (call instanceof ThriftCall.CancelRequest c) {
            Pending cancelled = open.remove(c.cancelled());
            if (cancelled != null) {
                cancelled.leave();
                idleIfDone();
            }
        } else if (call instanceof ThriftCall.Alive c) {
            used();
            answer("alive", c.seqid(), Unpooled.EMPTY_BUFFER, Map.of(), front.duty().ready());
        } else if (call instanceof ThriftCall.Unknown c) {
            log.warn("unknown method", "client", channel.remoteAddress(), "method", c.method());
            bad(c.method(), c.seqid(), Thrift.UNKNOWN_METHOD, "unknown method");
        }
    }

    /** Watches for what never becomes whole: a first request, or later one of which only a part has come. */
    private void watch() {
        halfSent = front.clock().after(HALF_SENT_MS, () -> {
            if (!useful) {
                log.warn("connection closed: no request came", "client", channel.remoteAddress(), "ms", HALF_SENT_MS);
                lastWord(Thrift.PROTOCOL_ERROR, "no request came");
            }
        });
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (leaving && decoder.discarded() > MOST_DISCARDED) {
            channel.config().setAutoRead(false);
        } else if (useful && !leaving) {
            halfSent.cancel();
            if (decoder.midFrame()) {
                watchRest(decoder.frames());
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void watchRest(long frames) {
        halfSent = front.clock().after(HALF_SENT_MS, () -> {
            if (decoder.frames() == frames && open.isEmpty()) {
                log.warn("connection closed: half a request", "client", channel.remoteAddress());
                lastWord(Thrift.PROTOCOL_ERROR, "half a request came");
            } else {
                watchRest(decoder.frames());
            }
        });
    }

    private void used() {
        useful = true;
        idleIfDone();
    }

    private void idleIfDone() {
        if (open.isEmpty() && !leaving && useful) {
            front.crowd().idle(this, front.clock().nowMs());
            if (front.duty().closeWhenIdle()) {
                // After the answer that made it idle has been written, which comes after this call.
                channel.eventLoop().execute(this::closeIfQuiet);
            }
        }
    }

    /**
     * Closes the connection where the duty wants idle ones gone and nothing is open or unwritten on it. One that never
     * asked is left to the watch on half-sent requests: it may be about to ask.
     */
    void closeIfQuiet() {
        if (open.isEmpty() && unwritten == 0 && useful && !leaving && channel.isActive() && front.duty().closeWhenIdle()) {
            front.crowd().leaving(this);
            leaving = true;
            halfSent.cancel();
            channel.close();
        }
    }

    /** Answers what can't be used. Who sends nothing else is let go: guards the loop against endless repeats. */
    private void bad(String method, int seqid, int kind, String message) {
        write(Thrift.exception(channel.alloc(), method, seqid, kind, message));
        if (++bad >= MOST_BAD && open.isEmpty()) {
            lastWord(kind, message);
        }
    }

    /**
     * Fails what is open, says why, and closes once the client has had time to read that: a close with unread input
     * resets the connection, which destroys what the client has not read yet. What still comes is thrown away, and
     * past a bound not even read: a client of endless messages must not have the loop for itself.
     */
    private void lastWord(int kind, String message) {
        if (leaving) {
            return;
        }
        leaving = true;
        front.crowd().leaving(this);
        halfSent.cancel();
        decoder.discard();
        List<Pending> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(x -> {
            x.leave();
            write(Thrift.failed(channel.alloc(), DISPATCH, x.seqid));
        });
        write(Thrift.exception(channel.alloc(), "", 0, kind, message));
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(out -> {
            if (channel instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            }
        });
        stuck = front.clock().after(LAST_WORD_MS, channel::close);
    }

    private void dispatch(ThriftCall.Dispatch call) throws ThriftCall.Malformed {
        int seqid = call.seqid();
        if (open.containsKey(seqid)) {
            throw new ThriftCall.Malformed("sequence number " + seqid + " is in use");
        }
        Ask ask;
        try {
            ask = RequestFields.read(call.fields(), call.body(), front.classes().get());
            if (doorman.hasTaken(ask.id())) {
                // Two requests under one id would be taken for one another at a depot.
                throw new IllegalArgumentException("field i is the id of an earlier request");
            }
        } catch (IllegalArgumentException e) {
            log.warn("bad request", "client", channel.remoteAddress(), "cause", e.getMessage());
            bad(DISPATCH, seqid, Thrift.PROTOCOL_ERROR, e.getMessage());
            return;
        }
        useful = true;
        if (!front.duty().takes(front.clock().nowMs(), ask.remainingMs())) {
            // Its connection is to be closed, which needs a moment with nothing open: the client asks again elsewhere.
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, Map.of("w", Long.toString(AWAY_MS))));
            idleIfDone();
            return;
        }
        if (open.size() >= front.mostOpen() || unread.full()) {
            log.warn("refused: too many requests are open here", "client", channel.remoteAddress(), "open", open.size(),
                "unread", unread.full());
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, Map.of()));
            idleIfDone();
            return;
        }
        Pending x = new Pending(seqid);
        open.put(seqid, x);
        front.crowd().busy(this);
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

        private void over() {
            open.remove(seqid);
            idleIfDone();
        }

        @Override
        public void served(ByteBuf body, String tag) {
            over();
            answer(DISPATCH, seqid, body, tag == null ? Map.of() : Map.of("etag", tag), true);
        }

        @Override
        public void unchanged(String tag) {
            over();
            Map<String, String> fields = tag == null ? Map.of("notmod", "1") : Map.of("notmod", "1", "etag", tag);
            answer(DISPATCH, seqid, Unpooled.EMPTY_BUFFER, fields, true);
        }

        @Override
        public void refused(double pauseMs) {
            over();
            Map<String, String> advice = pauseMs > 0 ? Map.of("w", Long.toString(Math.round(pauseMs))) : Map.of();
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, advice));
        }

        @Override
        public void failed() {
            over();
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
        unwritten++;
        channel.writeAndFlush(tail).addListener(written -> {
            unread.add(-bodyBytes);
            written();
        });
    }

    private void written() {
        if (--unwritten == 0 && open.isEmpty() && front.duty().closeWhenIdle()) {
            closeIfQuiet();
        }
    }

    /** Closes the connection for a newcomer's, unless what has just been read is a request on it. */
    void makeRoom() {
        channel.eventLoop().execute(() -> {
            if (open.isEmpty()) {
                channel.close();
            }
        });
    }

    private void write(ByteBuf message) {
        unwritten++;
        channel.writeAndFlush(message).addListener(out -> written());
    }

    /** Back-pressure: from a client that does not read its answers nothing more is read, and at last it is left. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        boolean writable = channel.isWritable();
        if (leaving) {
            return;
        }
        channel.config().setAutoRead(writable);
        if (stuck != null) {
            stuck.cancel();
            stuck = null;
        }
        if (!writable && channel.isActive()) {
            stuck = front.clock().after(STUCK_MS, () -> {
                log.warn("connection closed: it does not read its answers", "client", channel.remoteAddress());
                channel.close();
            });
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        leaving = true;
        front.crowd().left(this);
        halfSent.cancel();
        if (stuck != null) {
            stuck.cancel();
        }
        List<Pending> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(Pending::leave);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LogEvent.log(LOG.atDebug(), "connection lost", "client", ctx.channel().remoteAddress(), "cause",
                cause.getMessage());
            ctx.close();
        } else if (cause instanceof ThriftCall.Malformed || cause instanceof DecoderException) {
            log.warn("connection closed", "client", ctx.channel().remoteAddress(), "cause", cause.getMessage());
            lastWord(Thrift.PROTOCOL_ERROR, "not the strict binary protocol");
        } else {
            log.warn("connection closed", "client", ctx.channel().remoteAddress(), "cause", cause);
            ctx.close();
        }
    }
}
