package barleyspur.front.thrift;

import barleyspur.decision.RoutingPolicy;
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
import java.util.concurrent.TimeUnit;
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
 * <p>As everything is read, what is read must not be held without a bound. A request is counted as it is read: beyond the
 * limit of this connection, or of the {@link InputBudgets} of all, it is refused at once and not kept, and a client that
 * sends far more than its limit without waiting for answers is disconnected.
 *
 * <p>{@link ConnectionEnding} ends the connection.
 */
final class ClientConnection extends SimpleChannelInboundHandler<Object>
        implements ResponseWriter.Listener,
                RequestReadTimeout.Listener,
                ConnectionEnding.Connection,
                RequestTurns.Connection {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    private static final String DISPATCH = "dispatch";
    /** Unwritten responses, as a multiple of the limit on pending requests, at which the client is disconnected. */
    private static final int MAX_UNWRITTEN_FACTOR = 2;
    /** Retry delay sent with requests that are refused during a drain or hand-off; the connection then closes. */
    static final long DRAIN_RETRY_AFTER_MS = 50;
    /** The longest time that received requests wait for further input: no attempt begins 0.1 s after its client left. */
    private static final double MAX_INPUT_WAIT_MS = 50;

    private static final int POLL_DELAY_MS = 1;
    /** Number of invalid calls after which a connection without pending requests is closed. */
    private static final int MAX_INVALID_CALLS = 8;

    /** The state that all connections of one server share. */
    record ServerContext(
            Doorman doorman,
            Clock clock,
            Supplier<RequestClassRegistry> classes,
            int maxPending,
            ResponseBackpressure backpressure,
            InputBudgets inputBudgets,
            ConnectionRegistry<ClientConnection> registry,
            RequestTurns turns,
            RateLimitedLog log,
            Lifecycle lifecycle) {}

    private final ServerContext server;
    private final Doorman doorman;
    private final RateLimitedLog log;
    private final ThriftFrameDecoder decoder;
    private final Map<Integer, PendingResponse> pending = new HashMap<>();
    /** Requests read in this iteration of the event loop, in order. */
    private final ArrayDeque<ReceivedRequest> received = new ArrayDeque<>();

    private final RequestMemory memory;
    /** The number of calls without effect that were read in this iteration of the event loop. */
    private int excessCalls;
    /** Whether this connection waits for its turn to have received requests processed. */
    private boolean waitsForTurn;

    private double turnRequestedMs;
    /** Whether there may be input in the socket that this iteration of the event loop has left there. */
    private boolean mayHaveMoreInput;

    private Channel channel;
    private ConnectionEnding ending;
    private ResponseWriter responses;
    private RequestReadTimeout readTimeout;
    private boolean used;
    private int invalidCalls;

    ClientConnection(ServerContext server, ThriftFrameDecoder decoder) {
        this.server = server;
        this.doorman = server.doorman();
        this.log = server.log();
        this.decoder = decoder;
        this.memory = new RequestMemory(server.inputBudgets());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        ending = new ConnectionEnding(channel, server.clock(), server.lifecycle(), this);
        responses = new ResponseWriter(
                channel, server.clock(), server.backpressure(), log, this::longestWaitMs, server.maxPending(), this);
        readTimeout = new RequestReadTimeout(server.clock(), decoder, this::longestWaitMs, pending::isEmpty, this);
        server.registry().addNew(this, server.clock().nowMs());
        readTimeout.startFirstRequestTimer();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) throws ThriftCall.MalformedCallException {
        if (ending.hasBegun()) {
            return;
        }
        responses.reading();
        if (message instanceof ThriftFrameDecoder.UnheldFrame unheld) {
            refuseUnheld(unheld.head());
        } else {
            handle(ThriftCall.parse((ByteBuf) message));
        }
        closeIfAnswersAreUnread();
    }

    private void handle(ThriftCall call) {
        if (call instanceof ThriftCall.Dispatch dispatch) {
            receive(dispatch);
        } else if (call instanceof ThriftCall.CancelRequest cancel) {
            cancel(cancel.cancelled());
        } else if (call instanceof ThriftCall.Alive alive) {
            markUsed();
            responses.writeAlive(alive.seqid(), server.lifecycle().isReady());
        } else if (call instanceof ThriftCall.UnknownMethod unknown) {
            log.warn("unknown method", "client", channel.remoteAddress(), "method", unknown.method());
            rejectCall(unknown.method(), unknown.seqid(), ThriftProtocol.UNKNOWN_METHOD, "unknown method");
        }
    }

    /** Keeps a request until it is processed, or refuses it at once if it can't be kept. */
    private void receive(ThriftCall.Dispatch call) {
        if (pending.size() + received.size() + responses.unwritten() >= server.maxPending()) {
            refuseExcess(call.seqid());
            return;
        }
        RequestMemory.Reservation reservation = memory.tryReserve(call.body().readableBytes());
        if (reservation == null) {
            refuseForMemory(call.seqid());
            return;
        }
        received.add(ReceivedRequest.of(
                call, server.classes().get(), channel.alloc(), server.clock().earliestArrivalMs(), reservation));
    }

    /**
     * Refuses a request over the limit on pending requests. Unwritten responses count as pending, because the client
     * still waits for them; a client that respects its limit never exceeds it by this count. After as many of them in
     * one iteration as the limit allows in all, the client is disconnected: it doesn't wait for answers.
     */
    private void refuseExcess(int seqid) {
        logTooManyOpen(false);
        responses.writeRefused(seqid, "", Map.of());
        countExcess();
    }

    /**
     * Counts a call that has no effect: a request over the limit, or a cancel of what is not open. A client that waits
     * for answers sends no more of them at a time than it may have requests open.
     */
    private void countExcess() {
        if (++excessCalls > server.maxPending()) {
            log.warn("connection closed: it sends on without waiting for answers", "client", channel.remoteAddress());
            closeWithError(ThriftProtocol.PROTOCOL_ERROR, "too many requests are open");
        }
    }

    private void refuseForMemory(int seqid) {
        log.warn("refused: no memory is left for requests", "client", channel.remoteAddress());
        responses.writeRefused(seqid, "", retryAfter(doorman.maxRetryAfterMs()));
        markUsed();
    }

    /** Refuses a request whose frame was skipped, as no memory was left for it. */
    private void refuseUnheld(ThriftCall.Head head) throws ThriftCall.MalformedCallException {
        if (!head.isDispatch()) {
            throw new ThriftCall.MalformedCallException("a call without arguments is too long");
        }
        refuseForMemory(head.seqid());
    }

    private static Map<String, String> retryAfter(double delayMs) {
        return delayMs > 0 ? Map.of("w", Long.toString(Math.round(delayMs))) : Map.of();
    }

    private void rejectInvalid(ReceivedRequest invalid, String cause) {
        invalid.release();
        log.warn("bad request", "client", channel.remoteAddress(), "cause", cause);
        rejectCall(DISPATCH, invalid.seqid(), ThriftProtocol.PROTOCOL_ERROR, cause);
    }

    private void closeIfAnswersAreUnread() {
        if (!ending.hasBegun() && responses.unwritten() >= MAX_UNWRITTEN_FACTOR * server.maxPending()) {
            log.warn("connection closed: it asks for more and reads no answers", "client", channel.remoteAddress());
            closeWithError(ThriftProtocol.PROTOCOL_ERROR, "answers are not read");
        }
    }

    /** Drops a request without a response, whether it is already pending or has only been read so far. */
    private void cancel(int seqid) {
        boolean wasReceived = false;
        for (Iterator<ReceivedRequest> iterator = received.iterator(); iterator.hasNext(); ) {
            ReceivedRequest request = iterator.next();
            if (request.seqid() == seqid) {
                iterator.remove();
                request.release();
                wasReceived = true;
                markUsed();
            }
        }
        PendingResponse cancelled = pending.remove(seqid);
        if (cancelled != null) {
            cancelled.cancel("cancelled");
            markIdleIfNothingPending();
        } else if (!wasReceived) {
            countExcess();
        }
    }

    /** Processes the requests after everything else that this iteration reads: by then a close has been noticed. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        excessCalls = 0;
        responses.readComplete();
        // The last read was empty unless the limit on reads in one iteration ended them.
        mayHaveMoreInput = channel.unsafe().recvBufAllocHandle().lastBytesRead() > 0;
        if (!waitsForTurn) {
            waitsForTurn = true;
            turnRequestedMs = server.clock().nowMs();
            takeTurn();
        }
        ctx.fireChannelReadComplete();
    }

    /**
     * Has the received requests processed once all input has been read, as a close or cancels may follow them; but not
     * much later, as some clients send without end.
     */
    private void takeTurn() {
        if (mayHaveMoreInput && server.clock().nowMs() - turnRequestedMs < MAX_INPUT_WAIT_MS) {
            channel.eventLoop().schedule(this::takeTurn, POLL_DELAY_MS, TimeUnit.MILLISECONDS);
        } else {
            server.turns().add(this, channel.eventLoop()::execute);
        }
    }

    @Override
    public boolean processNext() {
        ReceivedRequest next = received.poll();
        if (next != null && (ending.hasBegun() || !channel.isActive())) {
            next.release();
        } else if (next != null) {
            dispatch(next);
        }
        waitsForTurn = !received.isEmpty();
        if (!waitsForTurn) {
            allProcessed();
        }
        return waitsForTurn;
    }

    private void allProcessed() {
        closeIfAnswersAreUnread();
        // A connection that has ended meanwhile must not be registered again.
        if (!ending.hasBegun() && channel.isActive()) {
            updateReadTimeout();
        }
    }

    /** Updates the read time-out and the eviction order after input that may have ended within a request. */
    private void updateReadTimeout() {
        boolean wasReceiving = readTimeout.receiving();
        readTimeout.update(channel.isActive(), used);
        if (!pending.isEmpty()) {
            return;
        }
        if (readTimeout.receiving()) {
            server.registry().markReceiving(this);
        } else if (wasReceiving && used) {
            server.registry().markIdle(this, server.clock().nowMs());
        } else if (wasReceiving) {
            server.registry().addNew(this, server.clock().nowMs());
            readTimeout.startFirstRequestTimer();
        }
    }

    @Override
    public void firstRequestTimedOut() {
        if (!used) {
            log.warn(
                    "connection closed: no request came",
                    "client",
                    channel.remoteAddress(),
                    "ms",
                    RequestReadTimeout.INACTIVITY_TIMEOUT_MS);
            closeWithError(ThriftProtocol.PROTOCOL_ERROR, "no request came");
        }
    }

    @Override
    public void partialRequestTimedOut() {
        log.warn("connection closed: half a request", "client", channel.remoteAddress());
        closeWithError(ThriftProtocol.PROTOCOL_ERROR, "half a request came");
    }

    private void markUsed() {
        used = true;
        markIdleIfNothingPending();
    }

    private void markIdleIfNothingPending() {
        if (pending.isEmpty() && !ending.hasBegun() && used) {
            if (decoder.hasPartialFrame()) {
                server.registry().markReceiving(this);
            } else {
                server.registry().markIdle(this, server.clock().nowMs());
            }
            ending.scheduleCloseIfIdle();
        }
    }

    /** Closes the connection if the lifecycle requires it and nothing is open on it. */
    void closeIfIdle() {
        ending.closeIfIdle();
    }

    /** Returns whether nothing is owed to the client, so that the connection may be closed. */
    boolean isSettled() {
        return ending.isSettled();
    }

    /** Returns whether the client may still be reading answers, while the connection is being closed. */
    boolean isDelivering() {
        return ending.isDelivering();
    }

    /** Closes the connection in favour of a new one, unless something is owed on it meanwhile. */
    void evict() {
        ending.evict();
    }

    /** Closes the channel if it is lingering, because its file descriptor is needed. */
    void closeWithoutLinger() {
        ending.closeWithoutLinger();
    }

    @Override
    public boolean hasRequests() {
        return !pending.isEmpty() || !received.isEmpty();
    }

    @Override
    public boolean hasPendingRequests() {
        return !pending.isEmpty();
    }

    @Override
    public boolean hasUnwrittenMessages() {
        return responses.unwritten() > 0;
    }

    @Override
    public double remainingReadMs() {
        return responses.remainingReadMs();
    }

    @Override
    public double longestWaitMs() {
        return server.classes().get().longestDeadlineMs();
    }

    @Override
    public boolean hasPartialRequest() {
        return decoder.hasPartialFrame();
    }

    @Override
    public boolean wasUsed() {
        return used;
    }

    @Override
    public void onClosing(LingeringClose lingeringClose) {
        server.registry().markClosing(this);
        readTimeout.stop();
        decoder.startDiscarding(lingeringClose::onDiscarded);
    }

    @Override
    public void onEvictionPostponed() {
        server.registry().markIdle(this, server.clock().nowMs());
    }

    /** Responds to an invalid call. Closes the connection after several, so that endless ones can't load the loop. */
    private void rejectCall(String method, int seqid, int kind, String message) {
        responses.writeException(method, seqid, kind, message);
        if (++invalidCalls >= MAX_INVALID_CALLS && pending.isEmpty()) {
            closeWithError(kind, message);
        }
    }

    /**
     * Fails all pending requests, sends an application exception and starts to close. The close lingers so that the
     * client can read the responses: closing a socket with unread input resets the connection, which discards data that
     * the client hasn't read yet.
     */
    private void closeWithError(int kind, String message) {
        if (ending.hasBegun()) {
            return;
        }
        List<PendingResponse> unfinished = new ArrayList<>(pending.values());
        pending.clear();
        unfinished.forEach(response -> {
            response.cancel("connection rejected");
            response.writeFailure();
        });
        for (ReceivedRequest next = received.poll(); next != null; next = received.poll()) {
            responses.writeFailed(next.seqid(), next.requestId());
            next.release();
        }
        responses.writeException("", 0, kind, message);
        ending.close(ConnectionEnding.Cause.REJECTED);
    }

    private void dispatch(ReceivedRequest next) {
        if (pending.containsKey(next.seqid())) {
            next.release();
            closeMalformed(new ThriftCall.MalformedCallException("sequence number " + next.seqid() + " is in use"));
            return;
        }
        if (next.rejection() != null) {
            rejectInvalid(next, next.rejection());
            return;
        }
        Request request = next.request();
        if (doorman.hasRecentId(request.id())) {
            // A depot can't tell two requests with the same id apart.
            rejectInvalid(next, "field i is the id of an earlier request");
            return;
        }
        used = true;
        if (!server.lifecycle().acceptsRequest(server.clock().nowMs(), request.remainingMs())) {
            // The connection can be closed only when no request is pending; the client retries at another doorman.
            refuse(next, retryAfter(DRAIN_RETRY_AFTER_MS));
        } else if (server.backpressure().isOverLimit()) {
            logTooManyOpen(true);
            refuse(next, Map.of());
        } else {
            accept(next);
        }
    }

    private void refuse(ReceivedRequest refused, Map<String, String> fields) {
        responses.writeRefused(refused.seqid(), refused.requestId(), fields);
        refused.release();
        markIdleIfNothingPending();
    }

    /** Logs a refusal; {@code unread} if it is due to the unread responses of all clients together. */
    private void logTooManyOpen(boolean unread) {
        log.warn(
                "refused: too many requests are open here",
                "client",
                channel.remoteAddress(),
                "open",
                pending.size(),
                "unread",
                unread);
    }

    private void accept(ReceivedRequest next) {
        int seqid = next.seqid();
        Request request = next.request();
        PendingResponse response = new PendingResponse(
                seqid, request.id(), responses, overloadRetryAfterMs(request), next.memory(), () -> {
                    pending.remove(seqid);
                    markIdleIfNothingPending();
                });
        pending.put(seqid, response);
        server.registry().markBusy(this);
        response.setRequest(doorman.accept(request, next.arrivedMs(), response));
    }

    /**
     * Returns the retry delay with which the response is refused if the client has too many unread ones, or -1 if it
     * must not be refused, because a repeat of the request might not be harmless.
     */
    private double overloadRetryAfterMs(Request request) {
        RoutingPolicy.Effect effect =
                server.classes().get().classes().get(request.category()).effect();
        return effect == RoutingPolicy.Effect.SAFE ? doorman.maxRetryAfterMs() : -1;
    }

    @Override
    public void allWritten() {
        if (pending.isEmpty()) {
            ending.scheduleCloseIfIdle();
        }
    }

    @Override
    public void stalled() {
        log.warn("connection closed: it does not read its answers", "client", channel.remoteAddress());
        ending.closeImmediately(ConnectionEnding.Cause.STUCK);
    }

    @Override
    public void writeFailed(Throwable cause) {
        log.warn(
                "connection closed: a response could not be written",
                "client",
                channel.remoteAddress(),
                "cause",
                cause);
        ending.closeImmediately(ConnectionEnding.Cause.ANSWER_LOST);
    }

    /**
     * Starts or stops the time-out for a client that doesn't read. Reading from the client goes on meanwhile, to notice
     * a close.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.writabilityChanged(!channel.isWritable() && channel.isActive() && !ending.hasBegun());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ending.onClosed();
        server.registry().remove(this);
        readTimeout.stop();
        responses.stopStallTimer();
        RequestTrace.connectionEnded(
                channel.remoteAddress(), ending.cause(), pending.size() + received.size(), responses.unwritten());
        received.forEach(ReceivedRequest::release);
        received.clear();
        List<PendingResponse> unfinished = new ArrayList<>(pending.values());
        pending.clear();
        unfinished.forEach(response -> response.cancel("connection ended"));
    }

    private void closeMalformed(Exception cause) {
        log.warn("connection closed", "client", channel.remoteAddress(), "cause", cause.getMessage());
        closeWithError(ThriftProtocol.PROTOCOL_ERROR, "not the strict binary protocol");
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
            ending.closeImmediately(ConnectionEnding.Cause.BROKEN);
        } else if (cause instanceof ThriftCall.MalformedCallException || cause instanceof DecoderException) {
            closeMalformed((Exception) cause);
        } else {
            log.warn("connection closed", "client", ctx.channel().remoteAddress(), "cause", cause);
            ending.closeImmediately(ConnectionEnding.Cause.BROKEN);
        }
    }
}
