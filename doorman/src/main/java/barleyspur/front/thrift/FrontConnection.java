package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.doorman.Request;
import barleyspur.doorman.RequestTrace;
import barleyspur.lifecycle.Lifecycle;
import barleyspur.log.LogEvent;
import barleyspur.reload.RequestClassRegistry;
import barleyspur.transport.LingeringClose;
import io.netty.buffer.ByteBuf;
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
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf>
        implements ResponseWriter.Listener, PartialRequestWatch.Listener {

    /** Why a connection ends. */
    private enum EndCause {
        /** Its client closed it, or one side of it. */
        CLIENT_CLOSED,
        /** It was reset, or failed otherwise. */
        BROKEN,
        /** Nothing was open on it, and the process wants idle ones gone. */
        IDLE,
        /** Nothing was open on it, and a newcomer needed its place. */
        EVICTED,
        /** What came on it can't be used. */
        REJECTED,
        /** Its client does not read. */
        STUCK,
        /** An answer could not be written. */
        ANSWER_LOST
    }

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** How long a client has to read what was last written, and to close its side, before its connection is closed. */
    static final double LINGER_MS = 500;
    /** Answers that a client leaves unread, in times of what may be open, after which it is let go. */
    private static final int MOST_UNREAD = 2;
    /** How long a client that is sent away for a drain or an upgrade is told to stay away: its connection closes. */
    static final long AWAY_MS = 50;
    /** Requests that can't be used, after which a connection with nothing open is closed. */
    private static final int MOST_BAD = 8;

    /** What all connections of one front have in common. */
    record Shared(
            Doorman doorman,
            Clock clock,
            Supplier<RequestClassRegistry> classes,
            int mostOpen,
            UnreadAnswers unread,
            ConnectionRegistry<FrontConnection> registry,
            RateLimitedLog log,
            Lifecycle lifecycle) {}

    /** A request that has been read, and when it may have come to this machine. */
    private record Arrival(ThriftCall.Dispatch call, double atMs) {}

    private final Shared front;
    private final Doorman doorman;
    private final RateLimitedLog log;
    private final ThriftFrameDecoder decoder;
    private final Map<Integer, PendingResponse> open = new HashMap<>();
    /** Requests read in this turn of the loop, in their order; each holds its body. */
    private final ArrayDeque<Arrival> arrived = new ArrayDeque<>();

    private Channel channel;
    private LingeringClose closing;
    private ResponseWriter responses;
    private PartialRequestWatch partial;
    private boolean useful;
    private int bad;
    private EndCause endCause = EndCause.CLIENT_CLOSED;

    FrontConnection(Shared front, ThriftFrameDecoder decoder) {
        this.front = front;
        this.doorman = front.doorman();
        this.log = front.log();
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        closing = new LingeringClose(channel, front.clock());
        responses = new ResponseWriter(
                channel,
                front.clock(),
                front.unread(),
                log,
                () -> front.classes().get().longestDeadlineMs(),
                this);
        partial = new PartialRequestWatch(
                front.clock(), decoder, () -> front.classes().get().longestDeadlineMs(), open::isEmpty, this);
        front.registry().came(this, front.clock().nowMs());
        partial.awaitFirst();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws ThriftCall.Malformed {
        if (closing.hasBegun()) {
            return;
        }
        ThriftCall call = ThriftCall.read(frame);
        if (call instanceof ThriftCall.Dispatch c) {
            c.body().retain();
            arrived.add(new Arrival(c, front.clock().earliestArrivalMs()));
        } else if (call instanceof ThriftCall.CancelRequest c) {
            cancel(c.cancelled());
        } else if (call instanceof ThriftCall.Alive c) {
            used();
            responses.alive(c.seqid(), front.lifecycle().isReady());
        } else if (call instanceof ThriftCall.Unknown c) {
            log.warn("unknown method", "client", channel.remoteAddress(), "method", c.method());
            bad(c.method(), c.seqid(), Thrift.UNKNOWN_METHOD, "unknown method");
        }
    }

    /** No answer is owed to what is cancelled, whether it was taken or has only just come. */
    private void cancel(int seqid) {
        for (Iterator<Arrival> it = arrived.iterator(); it.hasNext(); ) {
            ThriftCall.Dispatch call = it.next().call();
            if (call.seqid() == seqid) {
                it.remove();
                call.body().release();
                used();
            }
        }
        PendingResponse cancelled = open.remove(seqid);
        if (cancelled != null) {
            cancelled.cancel("cancelled");
            idleIfDone();
        }
    }

    /** What was read is taken behind all that this turn of the loop reads: by then an end of the connection shows. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        channel.eventLoop().execute(this::takeArrived);
        ctx.fireChannelReadComplete();
    }

    private void takeArrived() {
        for (Arrival arrival = arrived.poll(); arrival != null; arrival = arrived.poll()) {
            ThriftCall.Dispatch call = arrival.call();
            try {
                if (!closing.hasBegun() && channel.isActive()) {
                    dispatch(call, arrival.atMs());
                }
            } catch (ThriftCall.Malformed e) {
                malformed(e);
            } finally {
                call.body().release();
            }
        }
        if (closing.hasBegun()) {
            closing.onDiscarded(decoder.discarded());
        } else if (responses.unwritten() >= MOST_UNREAD * front.mostOpen()) {
            log.warn("connection closed: it asks for more and reads no answers", "client", channel.remoteAddress());
            reject(Thrift.PROTOCOL_ERROR, "answers are not read");
        } else {
            watchArriving();
        }
    }

    /** Who is in the midst of a request goes last when room is to be made, and is watched. */
    private void watchArriving() {
        boolean wasArriving = partial.arriving();
        partial.look(channel.isActive(), useful);
        if (!open.isEmpty()) {
            return;
        }
        if (partial.arriving()) {
            front.registry().arriving(this);
        } else if (wasArriving && useful) {
            front.registry().idle(this, front.clock().nowMs());
        } else if (wasArriving) {
            front.registry().came(this, front.clock().nowMs());
            partial.awaitFirst();
        }
    }

    @Override
    public void noRequestCame() {
        if (!useful) {
            log.warn(
                    "connection closed: no request came",
                    "client",
                    channel.remoteAddress(),
                    "ms",
                    PartialRequestWatch.SILENCE_MS);
            reject(Thrift.PROTOCOL_ERROR, "no request came");
        }
    }

    @Override
    public void requestStoppedShort() {
        log.warn("connection closed: half a request", "client", channel.remoteAddress());
        reject(Thrift.PROTOCOL_ERROR, "half a request came");
    }

    private void used() {
        useful = true;
        idleIfDone();
    }

    private void idleIfDone() {
        if (open.isEmpty() && !closing.hasBegun() && useful) {
            if (decoder.midFrame()) {
                front.registry().arriving(this);
            } else {
                front.registry().idle(this, front.clock().nowMs());
            }
            closeSoonIfQuiet();
        }
    }

    /** Behind all that this turn of the loop reads, and behind the answer that made it idle. */
    private void closeSoonIfQuiet() {
        if (front.lifecycle().closesIdleConnections()) {
            channel.eventLoop().execute(this::closeIfQuiet);
        }
    }

    /**
     * Closes the connection where the lifecycle wants idle ones gone and nothing is open, unwritten or half read on it. One
     * that never asked is left to the watch on half-sent requests, for it may be about to request, until nothing more is to
     * come at all.
     */
    void closeIfQuiet() {
        boolean quiet = open.isEmpty() && arrived.isEmpty() && responses.unwritten() == 0 && !decoder.midFrame();
        if (quiet
                && front.lifecycle().closesIdleConnections()
                && (useful || front.lifecycle().closesUnusedConnections())) {
            close(EndCause.IDLE);
        }
    }

    /** Begins to close; what still comes is thrown away. */
    private void close(EndCause cause) {
        if (!closing.hasBegun() && channel.isActive()) {
            endCause = cause;
            front.registry().leaving(this);
            partial.stop();
            decoder.discard();
            closing.begin(LINGER_MS);
        }
    }

    /** Answers what can't be used. Who sends nothing else is let go: guards the loop against endless repeats. */
    private void bad(String method, int seqid, int kind, String message) {
        responses.exception(method, seqid, kind, message);
        if (++bad >= MOST_BAD && open.isEmpty()) {
            reject(kind, message);
        }
    }

    /**
     * Fails what is open, says why, and closes once the client has had time to read that: a close with unread input
     * resets the connection, which destroys what the client has not read yet.
     */
    private void reject(int kind, String message) {
        if (closing.hasBegun()) {
            return;
        }
        List<PendingResponse> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(response -> {
            response.cancel("connection rejected");
            response.writeFailed();
        });
        for (Arrival arrival = arrived.poll(); arrival != null; arrival = arrived.poll()) {
            ThriftCall.Dispatch call = arrival.call();
            responses.failed(call.seqid(), call.fields().getOrDefault("i", ""));
            call.body().release();
        }
        responses.exception("", 0, kind, message);
        close(EndCause.REJECTED);
    }

    private void dispatch(ThriftCall.Dispatch call, double arrivedMs) throws ThriftCall.Malformed {
        if (open.containsKey(call.seqid())) {
            throw new ThriftCall.Malformed("sequence number " + call.seqid() + " is in use");
        }
        Request request;
        try {
            request = read(call);
        } catch (IllegalArgumentException e) {
            log.warn("bad request", "client", channel.remoteAddress(), "cause", e.getMessage());
            bad(DISPATCH, call.seqid(), Thrift.PROTOCOL_ERROR, e.getMessage());
            return;
        }
        useful = true;
        if (!front.lifecycle().acceptsRequest(front.clock().nowMs(), request.remainingMs())) {
            // Its connection is to be closed, which needs a moment with nothing open: the client asks again elsewhere.
            responses.refused(call.seqid(), request.id(), Map.of("w", Long.toString(AWAY_MS)));
            idleIfDone();
        } else if (hasTooManyOpen()) {
            responses.refused(call.seqid(), request.id(), Map.of());
            idleIfDone();
        } else {
            take(call, request, arrivedMs);
        }
    }

    /** The request that a call brings; throws where it can't be used. */
    private Request read(ThriftCall.Dispatch call) {
        Request request =
                RequestFields.read(call.fields(), call.body(), front.classes().get());
        if (doorman.hasRecentId(request.id())) {
            // Two requests under one id would be taken for one another at a depot.
            throw new IllegalArgumentException("field i is the id of an earlier request");
        }
        return request;
    }

    /** What is not yet out is open to its client: who keeps to the limit is never refused by this. */
    private boolean hasTooManyOpen() {
        boolean unreadFull = front.unread().full();
        if (open.size() + responses.unwritten() < front.mostOpen() && !unreadFull) {
            return false;
        }
        log.warn(
                "refused: too many requests are open here",
                "client",
                channel.remoteAddress(),
                "open",
                open.size(),
                "unread",
                unreadFull);
        return true;
    }

    private void take(ThriftCall.Dispatch call, Request request, double arrivedMs) {
        int seqid = call.seqid();
        PendingResponse response = new PendingResponse(seqid, request.id(), responses, () -> {
            open.remove(seqid);
            idleIfDone();
        });
        open.put(seqid, response);
        front.registry().busy(this);
        // The body outlives the frame that it is a slice of: until the request is over.
        call.body().retain();
        response.taken(doorman.accept(request, arrivedMs, response));
    }

    @Override
    public void allWritten() {
        if (open.isEmpty()) {
            closeSoonIfQuiet();
        }
    }

    @Override
    public void stuck() {
        log.warn("connection closed: it does not read its answers", "client", channel.remoteAddress());
        endNow(EndCause.STUCK);
    }

    @Override
    public void lost(Throwable cause) {
        log.warn(
                "connection closed: an answer could not be written", "client", channel.remoteAddress(), "cause", cause);
        endNow(EndCause.ANSWER_LOST);
    }

    /** Closes outright: nothing that is owed could still reach the client. */
    private void endNow(EndCause cause) {
        endCause = cause;
        channel.close();
    }

    /** Closes the connection for a newcomer's, unless what has just been read is a request on it. */
    void evict() {
        channel.eventLoop().execute(() -> {
            if (open.isEmpty() && arrived.isEmpty()) {
                close(EndCause.EVICTED);
            } else if (open.isEmpty()) {
                // It stays, and may have to go another time where what has come can't be used.
                front.registry().idle(this, front.clock().nowMs());
            }
        });
    }

    /** Ends what is closing, without lingering any further: its descriptor is needed. */
    void endClosing() {
        channel.eventLoop().execute(() -> {
            if (closing.hasBegun()) {
                channel.close();
            }
        });
    }

    /** A client to which nothing goes out any more is left at last; it is read meanwhile, to learn when it is gone. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged(!channel.isWritable() && channel.isActive() && !closing.hasBegun());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing.onClosed();
        front.registry().left(this);
        partial.stop();
        responses.stop();
        RequestTrace.connectionEnded(
                channel.remoteAddress(), endCause, open.size() + arrived.size(), responses.unwritten());
        arrived.forEach(arrival -> arrival.call().body().release());
        arrived.clear();
        List<PendingResponse> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(response -> response.cancel("connection ended"));
    }

    private void malformed(Exception cause) {
        log.warn("connection closed", "client", channel.remoteAddress(), "cause", cause.getMessage());
        reject(Thrift.PROTOCOL_ERROR, "not the strict binary protocol");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LogEvent.log(
                    LOG.atDebug(),
                    "connection lost",
                    "client",
                    ctx.channel().remoteAddress(),
                    "cause",
                    cause.getMessage());
            endNow(EndCause.BROKEN);
        } else if (cause instanceof ThriftCall.Malformed || cause instanceof DecoderException) {
            malformed((Exception) cause);
        } else {
            log.warn("connection closed", "client", ctx.channel().remoteAddress(), "cause", cause);
            endNow(EndCause.BROKEN);
        }
    }
}
