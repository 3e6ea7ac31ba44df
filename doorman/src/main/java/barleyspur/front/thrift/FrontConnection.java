package barleyspur.front.thrift;

import barleyspur.doorman.Request;
import barleyspur.doorman.ResponseHandler;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import barleyspur.retune.ClassTable;
import barleyspur.transport.LingeringClose;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client connection: its open requests by sequence number.
 *
 * <p>It is always read, also while its client does not read: a client that has closed or cancelled is gone, and nothing
 * may be begun for it any more. What is read is taken only once the turn of the event loop has read all that there was,
 * so that an end or a cancel that came with a request is seen before it. Who asks for more than may be open without
 * reading the answers is let go.
 *
 * <p>It ends by one way, {@link LingeringClose}, but for a client that is gone or does not read: those are closed outright.
 */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** No client waits this long for an answer: what is still unread then was for nobody. */
    static final double STUCK_MS = 10_000;
    /** How long a client may take over its first whole request, or over the rest of one that it began. */
    static final int HALF_SENT_MS = 2_000;
    /** How long a client has to read what was last written, and to close its side, before its connection is closed. */
    static final double LINGER_MS = 500;
    /** Answers that a client leaves unread, in times of what may be open, after which it is let go. */
    private static final int MOST_UNREAD = 2;
    /** How long a client that is sent away for a drain or an upgrade is told to stay away: its connection closes. */
    static final long AWAY_MS = 50;
    /** Requests that can't be used, after which a connection with nothing open is closed. */
    private static final int MOST_BAD = 8;

    /** What all connections of one front have in common. */
    record Shared(Doorman doorman, Clock clock, Supplier<ClassTable> classes, int mostOpen, UnreadAnswers unread,
                  ConnectionRegistry<FrontConnection> registry, CappedLog log, Lifecycle lifecycle) { }

    private final Shared front;
    private final UnreadAnswers unread;
    private final Doorman doorman;
    private final CappedLog log;
    private final ThriftFrameDecoder decoder;
    private final Map<Integer, Pending> open = new HashMap<>();
    /** Requests read in this turn of the loop, in their order; each holds its body. */
    private final ArrayDeque<ThriftCall.Dispatch> arrived = new ArrayDeque<>();
    private Channel channel;
    private LingeringClose closing;
    private Clock.Timer stuck;
    private Clock.Timer halfSent;
    private boolean useful;
    /** Since when nothing that was written has gone out, where something waits. */
    private double stuckSince;
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
        closing = new LingeringClose(channel, front.clock());
        front.registry().came(this, front.clock().nowMs());
        watch();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws ThriftCall.Malformed {
        if (closing.begun()) {
            return;
        }
        ThriftCall call = ThriftCall.read(frame);
        if (call instanceof ThriftCall.Dispatch c) {
            c.body().retain();
            arrived.add(c);
        } else if (call instanceof ThriftCall.CancelRequest c) {
            cancel(c.cancelled());
        } else if (call instanceof ThriftCall.Alive c) {
            used();
            answer("alive", c.seqid(), Unpooled.EMPTY_BUFFER, Map.of(), front.lifecycle().ready());
        } else if (call instanceof ThriftCall.Unknown c) {
            log.warn("unknown method", "client", channel.remoteAddress(), "method", c.method());
            bad(c.method(), c.seqid(), Thrift.UNKNOWN_METHOD, "unknown method");
        }
    }

    /** No answer is owed to what is cancelled, whether it was taken or has only just come. */
    private void cancel(int seqid) {
        for (Iterator<ThriftCall.Dispatch> it = arrived.iterator(); it.hasNext();) {
            ThriftCall.Dispatch call = it.next();
            if (call.seqid() == seqid) {
                it.remove();
                call.body().release();
                used();
            }
        }
        Pending cancelled = open.remove(seqid);
        if (cancelled != null) {
            cancelled.leave();
            idleIfDone();
        }
    }

    /** Watches for what never becomes whole: a first request, or later one of which only a part has come. */
    private void watch() {
        halfSent = front.clock().after(HALF_SENT_MS, () -> {
            if (!useful) {
                log.warn("connection closed: no request came", "client", channel.remoteAddress(), "ms", HALF_SENT_MS);
                dismiss(Thrift.PROTOCOL_ERROR, "no request came");
            }
        });
    }

    /** What was read is taken behind all that this turn of the loop reads: by then an end of the connection shows. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        channel.eventLoop().execute(this::takeArrived);
        ctx.fireChannelReadComplete();
    }

    private void takeArrived() {
        for (ThriftCall.Dispatch call = arrived.poll(); call != null; call = arrived.poll()) {
            try {
                if (!closing.begun() && channel.isActive()) {
                    dispatch(call);
                }
            } catch (ThriftCall.Malformed e) {
                malformed(e);
            } finally {
                call.body().release();
            }
        }
        if (closing.begun()) {
            closing.discarded(decoder.discarded());
        } else if (unwritten >= MOST_UNREAD * front.mostOpen()) {
            log.warn("connection closed: it asks for more and reads no answers", "client", channel.remoteAddress());
            dismiss(Thrift.PROTOCOL_ERROR, "answers are not read");
        } else if (useful) {
            halfSent.cancel();
            if (decoder.midFrame() && channel.isActive()) {
                watchRest(decoder.frames());
            }
        }
    }

    private void watchRest(long frames) {
        halfSent = front.clock().after(HALF_SENT_MS, () -> {
            if (decoder.frames() == frames && open.isEmpty()) {
                log.warn("connection closed: half a request", "client", channel.remoteAddress());
                dismiss(Thrift.PROTOCOL_ERROR, "half a request came");
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
        if (open.isEmpty() && !closing.begun() && useful) {
            front.registry().idle(this, front.clock().nowMs());
            closeSoonIfQuiet();
        }
    }

    /** Behind all that this turn of the loop reads, and behind the answer that made it idle. */
    private void closeSoonIfQuiet() {
        if (front.lifecycle().closeWhenIdle()) {
            channel.eventLoop().execute(this::closeIfQuiet);
        }
    }

    /**
     * Closes the connection where the lifecycle wants idle ones gone and nothing is open, unwritten or half read on it. One
     * that never asked is left to the watch on half-sent requests, for it may be about to request, until nothing more is to
     * come at all.
     */
    void closeIfQuiet() {
        boolean quiet = open.isEmpty() && arrived.isEmpty() && unwritten == 0 && !decoder.midFrame();
        if (quiet && front.lifecycle().closeWhenIdle() && (useful || front.lifecycle().closeStrangers())) {
            close();
        }
    }

    /** Begins to close; what still comes is thrown away. */
    private void close() {
        if (!closing.begun() && channel.isActive()) {
            front.registry().leaving(this);
            halfSent.cancel();
            decoder.discard();
            closing.begin(LINGER_MS);
        }
    }

    /** Answers what can't be used. Who sends nothing else is let go: guards the loop against endless repeats. */
    private void bad(String method, int seqid, int kind, String message) {
        write(Thrift.exception(channel.alloc(), method, seqid, kind, message));
        if (++bad >= MOST_BAD && open.isEmpty()) {
            dismiss(kind, message);
        }
    }

    /**
     * Fails what is open, says why, and closes once the client has had time to read that: a close with unread input
     * resets the connection, which destroys what the client has not read yet.
     */
    private void dismiss(int kind, String message) {
        if (closing.begun()) {
            return;
        }
        List<Pending> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(x -> {
            x.leave();
            write(Thrift.failed(channel.alloc(), DISPATCH, x.seqid));
        });
        for (ThriftCall.Dispatch call = arrived.poll(); call != null; call = arrived.poll()) {
            write(Thrift.failed(channel.alloc(), DISPATCH, call.seqid()));
            call.body().release();
        }
        write(Thrift.exception(channel.alloc(), "", 0, kind, message));
        close();
    }

    private void dispatch(ThriftCall.Dispatch call) throws ThriftCall.Malformed {
        int seqid = call.seqid();
        if (open.containsKey(seqid)) {
            throw new ThriftCall.Malformed("sequence number " + seqid + " is in use");
        }
        Request request;
        try {
            request = RequestFields.read(call.fields(), call.body(), front.classes().get());
            if (doorman.hasTaken(request.id())) {
                // Two requests under one id would be taken for one another at a depot.
                throw new IllegalArgumentException("field i is the id of an earlier request");
            }
        } catch (IllegalArgumentException e) {
            log.warn("bad request", "client", channel.remoteAddress(), "cause", e.getMessage());
            bad(DISPATCH, seqid, Thrift.PROTOCOL_ERROR, e.getMessage());
            return;
        }
        useful = true;
        if (!front.lifecycle().takes(front.clock().nowMs(), request.remainingMs())) {
            // Its connection is to be closed, which needs a moment with nothing open: the client asks again elsewhere.
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, Map.of("w", Long.toString(AWAY_MS))));
            idleIfDone();
            return;
        }
        // What is not yet out is open to its client: who keeps to the limit is never refused by this.
        if (open.size() + unwritten >= front.mostOpen() || unread.full()) {
            log.warn("refused: too many requests are open here", "client", channel.remoteAddress(), "open", open.size(),
                "unread", unread.full());
            write(Thrift.busy(channel.alloc(), DISPATCH, seqid, Map.of()));
            idleIfDone();
            return;
        }
        Pending x = new Pending(seqid);
        open.put(seqid, x);
        front.registry().busy(this);
        // The body outlives the frame that it is a slice of: until the request is over.
        call.body().retain();
        x.ticket = doorman.take(request, x);
    }

    /** One open request of this connection. */
    private final class Pending implements ResponseHandler {
        private final int seqid;
        private Doorman.Ticket ticket;

        Pending(int seqid) {
            this.seqid = seqid;
        }

        void leave() {
            ticket.cancel();
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
        stuckSince = front.clock().nowMs();
        if (--unwritten == 0 && open.isEmpty()) {
            closeSoonIfQuiet();
        }
    }

    /** Closes the connection for a newcomer's, unless what has just been read is a request on it. */
    void evict() {
        channel.eventLoop().execute(() -> {
            if (open.isEmpty() && arrived.isEmpty()) {
                close();
            } else if (open.isEmpty()) {
                // It stays, and may have to go another time where what has come can't be used.
                front.registry().idle(this, front.clock().nowMs());
            }
        });
    }

    /** Ends what is closing, without lingering any further: its descriptor is needed. */
    void endClosing() {
        channel.eventLoop().execute(() -> {
            if (closing.begun()) {
                channel.close();
            }
        });
    }

    private void write(ByteBuf message) {
        unwritten++;
        channel.writeAndFlush(message).addListener(out -> written());
    }

    /** A client to which nothing goes out any more is left at last; it is read meanwhile, to learn when it is gone. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (stuck != null) {
            stuck.cancel();
            stuck = null;
        }
        if (!channel.isWritable() && channel.isActive() && !closing.begun()) {
            stuckSince = front.clock().nowMs();
            watchStuck(STUCK_MS);
        }
    }

    private void watchStuck(double ms) {
        stuck = front.clock().after(ms, () -> {
            double left = stuckSince + STUCK_MS - front.clock().nowMs();
            if (left > 0) {
                watchStuck(left);
            } else {
                log.warn("connection closed: it does not read its answers", "client", channel.remoteAddress());
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing.closed();
        front.registry().left(this);
        halfSent.cancel();
        if (stuck != null) {
            stuck.cancel();
        }
        arrived.forEach(call -> call.body().release());
        arrived.clear();
        List<Pending> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(Pending::leave);
    }

    private void malformed(Exception cause) {
        log.warn("connection closed", "client", channel.remoteAddress(), "cause", cause.getMessage());
        dismiss(Thrift.PROTOCOL_ERROR, "not the strict binary protocol");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LogEvent.log(LOG.atDebug(), "connection lost", "client", ctx.channel().remoteAddress(), "cause",
                cause.getMessage());
            ctx.close();
        } else if (cause instanceof ThriftCall.Malformed || cause instanceof DecoderException) {
            malformed((Exception) cause);
        } else {
            log.warn("connection closed", "client", ctx.channel().remoteAddress(), "cause", cause);
            ctx.close();
        }
    }
}
