package barleyspur.depot;

import barleyspur.decision.RoutingPolicy.Result;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.Depots.Answer;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.log.LogEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a depot and the calls that are open on it. Calls opened before the connection is established are
 * written once it is; if it never is, they never ran. Nothing is retried here: the routing policy decides on the
 * result of each call.
 */
final class DepotConnection extends SimpleChannelInboundHandler<RespDecoder.Message> {

    private static final Logger LOG = LoggerFactory.getLogger("depot");

    /**
     * How many ids are remembered for each possible open call: more calls than can end while an answer is still on its
     * way.
     */
    private static final int REMEMBERED_IDS_PER_STREAM = 8;
    /**
     * A connection with open calls on which nothing has arrived for this long gets no new calls: a depot that stopped
     * in the middle of an answer sends nothing more, although its connection stays open. If the depot was only slow,
     * the cost is one additional connection.
     */
    static final double UNRESPONSIVE_MS = 500;
    /** An answer that has arrived in part and then made no progress for this long was cut off. */
    static final double STALLED_MS = 500;

    /** The state shared by all connections of one client. */
    record Shared(Clock clock, List<String> reportFields, int maxStreams, RateLimitedLog log) {}

    private final String uid;
    private final Shared shared;
    private final RespDecoder decoder;
    private final Runnable onClosed;
    /** The open calls by id, in the order in which they were opened. Answers arrive in any order. */
    private final Map<String, Call> openCalls = new LinkedHashMap<>();
    /** The ids recently used on this connection. */
    private final Set<String> recentIds = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_IDS_PER_STREAM * shared.maxStreams();
        }
    });

    private Channel channel;
    private boolean connected;
    private boolean closed;
    private boolean draining;
    private double idleSinceMs;
    /** Since when calls have been waiting for an answer, or when data was last read. */
    private double waitingSinceMs;

    DepotConnection(String uid, Shared shared, RespDecoder decoder, Runnable onClosed) {
        this.uid = uid;
        this.shared = shared;
        this.decoder = decoder;
        this.onClosed = onClosed;
        idleSinceMs = nowMs();
    }

    private double nowMs() {
        return shared.clock().nowMs();
    }

    /**
     * One attempt or probe on this connection. It ends exactly once: by its answer, by the end of the connection, or by
     * being cancelled.
     */
    final class Call implements Depots.Call {

        /** The states of a call. */
        private enum State {
            /** Waiting for the connection to be established. No byte was written, so the call cannot have run. */
            WAITING,
            /** Written, and waiting for its answer or a cancel. */
            SENT,
            /**
             * Rejected by the listener before the write. The listener is notified in the next iteration of the event
             * loop.
             */
            REJECTED,
            /** Ended. */
            ENDED
        }

        private final String id;
        private final DoubleFunction<ByteBuf> header;
        private final Depots.AttemptListener listener;
        private final double openedAtMs = nowMs();
        private ByteBuf body;
        private State state = State.WAITING;

        private Call(String id, DoubleFunction<ByteBuf> header, ByteBuf body, Depots.AttemptListener listener) {
            this.id = id;
            this.header = header;
            this.body = body;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            if (state == State.SENT && connected) {
                channel.writeAndFlush(Resp.array(channel.alloc(), "cancel", id), channel.voidPromise());
            }
            abandon();
        }

        /** Removes the call; its answer is ignored if it still arrives. */
        void abandon() {
            if (state != State.ENDED) {
                state = State.ENDED;
                remove();
            }
        }

        private void remove() {
            openCalls.remove(id, this);
            releaseBody();
            onCallRemoved();
        }

        /** Writes the call, unless the listener rejects it. */
        private void write() {
            if (state != State.WAITING) {
                return;
            }
            Result admitted = listener.beforeWrite();
            if (admitted != Result.OK) {
                state = State.REJECTED;
                remove();
                shared.clock().schedule(0, () -> end(Answer.of(admitted)));
                return;
            }
            state = State.SENT;
            channel.write(header.apply(nowMs() - openedAtMs), channel.voidPromise());
            if (body != null) {
                channel.write(body, channel.voidPromise());
                channel.write(Unpooled.wrappedBuffer(Resp.CRLF), channel.voidPromise());
                body = null;
            }
            channel.flush();
            listener.onSent();
        }

        /** Ends the call and returns true, or returns false if it had ended before. */
        private boolean end(Answer answer) {
            if (state == State.ENDED) {
                if (answer.body() != null) {
                    answer.body().release();
                }
                return false;
            }
            state = State.ENDED;
            releaseBody();
            listener.onEnd(answer);
            return true;
        }

        private void releaseBody() {
            if (body != null) {
                body.release();
                body = null;
            }
        }
    }

    /** Tracks the connect; called once, directly after it was started. */
    void trackConnect(ChannelFuture connect) {
        channel = connect.channel();
        connect.addListener(done -> {
            if (done.isSuccess()) {
                connected = true;
                waitingSinceMs = nowMs();
                new ArrayList<>(openCalls.values()).forEach(Call::write);
                closeIfDrained();
            } else {
                LogEvent.log(
                        LOG.atDebug(),
                        "no connection",
                        "depot",
                        uid,
                        "cause",
                        done.cause().getMessage());
                failAll(Result.CONNECT_FAILED);
            }
        });
    }

    /**
     * Opens a call.
     *
     * @param header creates the first bytes to send, given how long the call has waited to be written, in milliseconds
     * @param body the body, which is owned by the call from now on; null for a message without a body
     */
    Call openCall(String id, DoubleFunction<ByteBuf> header, ByteBuf body, Depots.AttemptListener listener) {
        Call call = new Call(id, header, body, listener);
        if (openCalls.isEmpty()) {
            waitingSinceMs = nowMs();
        }
        openCalls.put(id, call);
        recentIds.add(id);
        if (connected) {
            call.write();
        }
        return call;
    }

    /**
     * Returns whether a call with this id may be opened here. Not while the depot doesn't read or is unresponsive, and
     * not if the id was used on this connection before: a late or duplicate answer to the earlier attempt would be
     * taken for the answer to the new one.
     */
    boolean canOpen(String id, int maxStreams) {
        boolean available = !closed
                && !draining
                && openCalls.size() < maxStreams
                && (!connected || channel.isWritable() && !isUnresponsive());
        return available && !recentIds.contains(id);
    }

    private boolean isUnresponsive() {
        return !openCalls.isEmpty() && nowMs() - waitingSinceMs > UNRESPONSIVE_MS;
    }

    /** Closes the connection if an answer was cut off. */
    void checkStalled() {
        if (connected
                && channel.config().isAutoRead()
                && decoder.hasPartialMessage()
                && nowMs() - waitingSinceMs > STALLED_MS) {
            shared.log().warn("connection closed: an answer has stopped short", "depot", uid);
            close();
        }
    }

    boolean isConnected() {
        return connected;
    }

    Channel channel() {
        return channel;
    }

    int openCallCount() {
        return openCalls.size();
    }

    boolean isIdleFor(double idleMs) {
        return openCalls.isEmpty() && nowMs() - idleSinceMs >= idleMs;
    }

    /** Applies back-pressure: while reading is off, answers are held back at the depot. */
    void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
        waitingSinceMs = nowMs();
    }

    /** Accepts no new calls, and closes the connection once all open calls have ended. */
    void drain() {
        draining = true;
        closeIfDrained();
    }

    void close() {
        channel.close();
    }

    private void closeIfDrained() {
        if (draining && openCalls.isEmpty()) {
            close();
        }
    }

    private void onCallRemoved() {
        if (openCalls.isEmpty()) {
            idleSinceMs = nowMs();
            // The calls were cancelled, not answered: the connection may not respond any more.
            draining |= connected && nowMs() - waitingSinceMs > UNRESPONSIVE_MS;
            closeIfDrained();
        }
    }

    @Override
    public boolean acceptInboundMessage(Object message) {
        return message instanceof RespDecoder.Message;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        waitingSinceMs = nowMs();
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RespDecoder.Message message) {
        waitingSinceMs = nowMs();
        ByteBuf body = message.body();
        try {
            List<String> strings = message.strings();
            if (strings.size() < 2) {
                throw new CorruptedFrameException("answer without a status");
            }
            Call call = openCalls.remove(strings.get(0));
            // An answer that crossed its cancel has no call any more.
            if (call != null) {
                Answer answer = parseAnswer(strings.get(1), strings.size() > 2 ? strings.get(2) : "-", body);
                onCallRemoved();
                call.end(answer);
            }
        } finally {
            if (body != null) {
                body.release();
            }
        }
    }

    private Answer parseAnswer(String status, String fields, ByteBuf body) {
        Result result =
                switch (status) {
                    case "DONE", "KEEP", "FIT" -> Result.OK;
                    case "LACK" -> Result.MISS;
                    case "WAIT" -> Result.FULL;
                    case "PAST" -> Result.MOOT;
                    case "BROKE", "UNFIT" -> Result.ERROR;
                    default -> {
                        shared.log().warn("unknown answer", "depot", uid, "word", status);
                        yield Result.ERROR;
                    }
                };
        ByteBuf retainedBody = status.equals("DONE") && body != null ? body.retain() : null;
        if (status.equals("DONE") && retainedBody == null) {
            shared.log().warn("an answer without its bytes", "depot", uid);
            return Answer.of(Result.ERROR);
        }
        return new Answer(
                result,
                Resp.parseNote(Resp.field(fields, "how")),
                Resp.parseLoad(Resp.field(fields, "stats"), shared.reportFields()),
                retainedBody,
                Resp.field(fields, "digest"));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failAll(Result.RESET);
    }

    private void failAll(Result result) {
        closed = true;
        connected = false;
        onClosed.run();
        List<Call> unfinished = new ArrayList<>(openCalls.values());
        openCalls.clear();
        Result callResult = result;
        for (Call call : unfinished) {
            // A call that was cancelled by the listener of an earlier call is not notified any more.
            if (call.end(Answer.of(callResult)) && result == Result.RESET) {
                // Only the first call is reported as reset: it is a single fault of the node, however many calls were
                // open.
                callResult = Result.CANCELLED;
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LogEvent.log(LOG.atDebug(), "connection lost", "depot", uid, "cause", cause.getMessage());
        } else {
            shared.log().warn("connection closed", "depot", uid, "cause", cause.getMessage());
        }
        ctx.close();
    }
}
