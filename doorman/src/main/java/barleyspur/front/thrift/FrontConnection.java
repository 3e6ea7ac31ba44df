package barleyspur.front.thrift;

import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Doorman;
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
 * Handles one client connection and keeps its pending requests by sequence number.
 *
 * <p>The socket is read even while the client doesn't read its responses, because a close or a cancel must be noticed
 * at once: no attempt may start for a client that is gone. Requests are processed only after the event loop has read
 * all available input, so that a close or cancel that arrived together with a request is handled before it. A client
 * that keeps sending requests without reading the responses is disconnected.
 *
 * <p>The server closes a connection through {@link LingeringClose}, unless the client is gone or doesn't read; then
 * the channel is closed immediately.
 */
final class FrontConnection extends SimpleChannelInboundHandler<ByteBuf>
        implements ResponseWriter.Listener, PartialRequestWatch.Listener {

    /** Reasons for which a connection ends. */
    private enum EndCause {
        /** The client closed it, or shut down its sending side. */
        CLIENT_CLOSED,
        /** It was reset, or another I/O error occurred. */
        BROKEN,
        /** It had no pending request, and the lifecycle requires idle connections to be closed. */
        IDLE,
        /** It had no pending request and was closed in favour of a new connection. */
        EVICTED,
        /** Its input was invalid or incomplete, or the client did not read its responses. */
        REJECTED,
        /** The client reads nothing, so that no data has been written for too long. */
        STUCK,
        /** A response could not be written. */
        ANSWER_LOST
    }

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** How long the client has to read the last responses and close its side before the channel is closed. */
    static final double LINGER_MS = 500;
    /** Unwritten responses, as a multiple of the limit on pending requests, at which the client is disconnected. */
    private static final int MOST_UNREAD = 2;
    /** Retry delay sent with requests that are refused during a drain or hand-off; the connection then closes. */
    static final long AWAY_MS = 50;
    /** Number of invalid calls after which a connection without pending requests is closed. */
    private static final int MOST_BAD = 8;

    /** The state that all connections of one server share. */
    record Shared(
            Doorman doorman,
            Clock clock,
            Supplier<RequestClassRegistry> classes,
            int mostOpen,
            UnreadAnswers unread,
            ConnectionRegistry<FrontConnection> registry,
            CappedLog log,
            Lifecycle lifecycle) {}

    /** A request that has been read, and the earliest time at which it may have reached this machine. */
    private record Arrival(ThriftCall.Dispatch call, double atMs) {}

    private final Shared front;
    private final Doorman doorman;
    private final CappedLog log;
    private final ThriftFrameDecoder decoder;
    private final Map<Integer, PendingResponse> open = new HashMap<>();
    /** Requests read in this iteration of the event loop, in order; each holds a reference to its body. */
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
        if (closing.begun()) {
            return;
        }
        ThriftCall call = ThriftCall.read(frame);
        if (call instanceof ThriftCall.Dispatch c) {
            c.body().retain();
            arrived.add(new Arrival(c, front.clock().pendingSinceMs()));
        } else if (call instanceof ThriftCall.CancelRequest c) {
            cancel(c.cancelled());
        } else if (call instanceof ThriftCall.Alive c) {
            used();
            responses.alive(c.seqid(), front.lifecycle().ready());
        } else if (call instanceof ThriftCall.Unknown c) {
            log.warn("unknown method", "client", channel.remoteAddress(), "method", c.method());
            bad(c.method(), c.seqid(), Thrift.UNKNOWN_METHOD, "unknown method");
        }
    }

    /** Drops a request without a response, whether it is already pending or has only been read so far. */
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

    /** Processes the requests after everything else that this iteration reads: by then a close has been noticed. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        channel.eventLoop().execute(this::takeArrived);
        ctx.fireChannelReadComplete();
    }

    private void takeArrived() {
        for (Arrival arrival = arrived.poll(); arrival != null; arrival = arrived.poll()) {
            ThriftCall.Dispatch call = arrival.call();
            try {
                if (!closing.begun() && channel.isActive()) {
                    dispatch(call, arrival.atMs());
                }
            } catch (ThriftCall.Malformed e) {
                malformed(e);
            } finally {
                call.body().release();
            }
        }
        if (closing.begun()) {
            closing.discarded(decoder.discarded());
        } else if (responses.unwritten() >= MOST_UNREAD * front.mostOpen()) {
            log.warn("connection closed: it asks for more and reads no answers", "client", channel.remoteAddress());
            reject(Thrift.PROTOCOL_ERROR, "responses are not read");
        } else {
            watchArriving();
        }
    }

    /** Updates the read time-out and the eviction order after input that may have ended within a request. */
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
            reject(Thrift.PROTOCOL_ERROR, "no request received in time");
        }
    }

    @Override
    public void requestStoppedShort() {
        log.warn("connection closed: half a request", "client", channel.remoteAddress());
        reject(Thrift.PROTOCOL_ERROR, "incomplete request");
    }

    private void used() {
        useful = true;
        idleIfDone();
    }

    private void idleIfDone() {
        if (open.isEmpty() && !closing.begun() && useful) {
            if (decoder.midFrame()) {
                front.registry().arriving(this);
            } else {
                front.registry().idle(this, front.clock().nowMs());
            }
            closeSoonIfQuiet();
        }
    }

    /** Checks after all input of this iteration, and after the response that made the connection idle. */
    private void closeSoonIfQuiet() {
        if (front.lifecycle().closeWhenIdle()) {
            channel.eventLoop().execute(this::closeIfQuiet);
        }
    }

    /**
     * Closes the connection if the lifecycle requires idle connections to be closed and this one has no pending
     * request, no unwritten response and no partly received frame. A connection that has never been used is left to the
     * read time-out, because its first request may be under way, until the lifecycle expects no further requests.
     */
    void closeIfQuiet() {
        boolean quiet = open.isEmpty() && arrived.isEmpty() && responses.unwritten() == 0 && !decoder.midFrame();
        if (quiet
                && front.lifecycle().closeWhenIdle()
                && (useful || front.lifecycle().closeStrangers())) {
            close(EndCause.IDLE);
        }
    }

    /** Starts to close the connection; further input is discarded. */
    private void close(EndCause cause) {
        if (!closing.begun() && channel.isActive()) {
            endCause = cause;
            front.registry().leaving(this);
            partial.stop();
            decoder.discard();
            closing.begin(LINGER_MS);
        }
    }

    /** Responds to an invalid call. Closes the connection after several, so that endless ones can't load the loop. */
    private void bad(String method, int seqid, int kind, String message) {
        responses.exception(method, seqid, kind, message);
        if (++bad >= MOST_BAD && open.isEmpty()) {
            reject(kind, message);
        }
    }

    /**
     * Fails all pending requests, sends an application exception and starts to close. The close lingers so that the
     * client can read the responses: closing a socket with unread input resets the connection, which discards data that
     * the client hasn't read yet.
     */
    private void reject(int kind, String message) {
        if (closing.begun()) {
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
        if (!front.lifecycle().takes(front.clock().nowMs(), request.remainingMs())) {
            // The connection can be closed only when no request is pending; the client retries at another doorman.
            responses.refused(call.seqid(), request.id(), Map.of("w", Long.toString(AWAY_MS)));
            idleIfDone();
        } else if (hasTooManyOpen()) {
            responses.refused(call.seqid(), request.id(), Map.of());
            idleIfDone();
        } else {
            take(call, request, arrivedMs);
        }
    }

    /** Returns the request of a call; throws IllegalArgumentException if its fields are invalid. */
    private Request read(ThriftCall.Dispatch call) {
        Request request =
                RequestFields.read(call.fields(), call.body(), front.classes().get());
        if (doorman.hasTaken(request.id())) {
            // A depot can't tell two requests with the same id apart.
            throw new IllegalArgumentException("field i is the id of an earlier request");
        }
        return request;
    }

    /**
     * Whether the client has reached the limit on pending requests. Responses that aren't written yet count, because to
     * the client their requests are still pending; a client that respects the limit is never refused here.
     */
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
        // The body is a slice of the frame and is needed until the request ends, longer than the frame itself.
        call.body().retain();
        response.taken(doorman.take(request, arrivedMs, response));
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
                "connection closed: a response could not be written",
                "client",
                channel.remoteAddress(),
                "cause",
                cause);
        endNow(EndCause.ANSWER_LOST);
    }

    /** Closes the channel immediately: no response could reach the client any more. */
    private void endNow(EndCause cause) {
        endCause = cause;
        channel.close();
    }

    /** Closes the connection in favour of a new one, unless a request has just been read on it. */
    void evict() {
        channel.eventLoop().execute(() -> {
            if (open.isEmpty() && arrived.isEmpty()) {
                close(EndCause.EVICTED);
            } else if (open.isEmpty()) {
                // The request may prove to be invalid, so the connection has to stay a candidate for eviction.
                front.registry().idle(this, front.clock().nowMs());
            }
        });
    }

    /** Closes the channel if it is lingering, because its file descriptor is needed. */
    void endClosing() {
        channel.eventLoop().execute(() -> {
            if (closing.begun()) {
                channel.close();
            }
        });
    }

    /**
     * Starts or stops the time-out for a client that doesn't read. Reading from the client goes on meanwhile, to notice
     * a close.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged(!channel.isWritable() && channel.isActive() && !closing.begun());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing.closed();
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
        reject(Thrift.PROTOCOL_ERROR, "not a valid call in the strict binary protocol");
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
