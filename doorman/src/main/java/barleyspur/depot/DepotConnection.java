package barleyspur.depot;

import barleyspur.decision.Director.Result;
import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.Depots;
import barleyspur.doorman.Depots.Answer;
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
 * written once it is; if it never is, they never ran. Nothing is retried here: the director decides on the result of
 * each call.
 */
final class DepotConnection extends SimpleChannelInboundHandler<RespDecoder.Message> {

    private static final Logger LOG = LoggerFactory.getLogger("depot");

    /**
     * How many ids are remembered for each possible open call: more calls than can end while an answer is still on its
     * way.
     */
    private static final int REMEMBERED = 8;
    /**
     * A connection with open calls on which nothing has arrived for this long gets no new calls: a depot that stopped
     * in the middle of an answer sends nothing more, although its connection stays open. If the depot was only slow,
     * the cost is one additional connection.
     */
    static final double SILENT_MS = 500;
    /** An answer that has arrived in part and then made no progress for this long was cut off. */
    static final double STALLED_MS = 500;

    /** The state shared by all connections of one client. */
    record Shared(Clock clock, List<String> reportFields, int streams, CappedLog log) {}

    private final String uid;
    private final Shared client;
    private final RespDecoder decoder;
    private final Runnable onClosed;
    /** The open calls by id, in the order in which they were opened. Answers arrive in any order. */
    private final Map<String, Call> open = new LinkedHashMap<>();
    /** The ids recently used on this connection. */
    private final Set<String> used = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED * client.streams();
        }
    });

    private Channel channel;
    private boolean up;
    private boolean closed;
    private boolean retired;
    private double idleSince;
    /** Since when calls have been waiting for an answer, or when data was last read. */
    private double waitingSince;

    DepotConnection(String uid, Shared client, RespDecoder decoder, Runnable onClosed) {
        this.uid = uid;
        this.client = client;
        this.decoder = decoder;
        this.onClosed = onClosed;
        idleSince = now();
    }

    private double now() {
        return client.clock().nowMs();
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
            DENIED,
            /** Ended. */
            OVER
        }

        private final String id;
        private final DoubleFunction<ByteBuf> head;
        private final Depots.AttemptListener listener;
        private final double openedAt = now();
        private ByteBuf body;
        private State state = State.WAITING;

        private Call(String id, DoubleFunction<ByteBuf> head, ByteBuf body, Depots.AttemptListener listener) {
            this.id = id;
            this.head = head;
            this.body = body;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            if (state == State.SENT && up) {
                channel.writeAndFlush(Resp.message(channel.alloc(), "cancel", id), channel.voidPromise());
            }
            giveUp();
        }

        /** Removes the call; its answer is ignored if it still arrives. */
        void giveUp() {
            if (state != State.OVER) {
                state = State.OVER;
                leave();
            }
        }

        private void leave() {
            open.remove(id, this);
            drop();
            idleFromNow();
        }

        /** Writes the call, unless the listener rejects it. */
        private void write() {
            if (state != State.WAITING) {
                return;
            }
            Result admitted = listener.beforeWrite();
            if (admitted != Result.OK) {
                state = State.DENIED;
                leave();
                client.clock().after(0, () -> ended(Answer.of(admitted)));
                return;
            }
            state = State.SENT;
            channel.write(head.apply(now() - openedAt), channel.voidPromise());
            if (body != null) {
                channel.write(body, channel.voidPromise());
                channel.write(Unpooled.wrappedBuffer(Resp.END), channel.voidPromise());
                body = null;
            }
            channel.flush();
            listener.sent();
        }

        /** Ends the call and returns true, or returns false if it had ended before. */
        private boolean ended(Answer answer) {
            if (state == State.OVER) {
                if (answer.body() != null) {
                    answer.body().release();
                }
                return false;
            }
            state = State.OVER;
            drop();
            listener.ended(answer);
            return true;
        }

        private void drop() {
            if (body != null) {
                body.release();
                body = null;
            }
        }
    }

    /** Tracks the connect; called once, directly after it was started. */
    void connecting(ChannelFuture connect) {
        channel = connect.channel();
        connect.addListener(done -> {
            if (done.isSuccess()) {
                up = true;
                waitingSince = now();
                new ArrayList<>(open.values()).forEach(Call::write);
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
    Call open(String id, DoubleFunction<ByteBuf> head, ByteBuf body, Depots.AttemptListener listener) {
        Call call = new Call(id, head, body, listener);
        if (open.isEmpty()) {
            waitingSince = now();
        }
        open.put(id, call);
        used.add(id);
        if (up) {
            call.write();
        }
        return call;
    }

    /**
     * Returns whether a call with this id may be opened here. Not while the depot doesn't read or is unresponsive, and
     * not if the id was used on this connection before: a late or duplicate answer to the earlier attempt would be
     * taken for the answer to the new one.
     */
    boolean takes(String id, int streams) {
        boolean able = !closed && !retired && open.size() < streams && (!up || channel.isWritable() && !silent());
        return able && !used.contains(id);
    }

    private boolean silent() {
        return !open.isEmpty() && now() - waitingSince > SILENT_MS;
    }

    /** Closes the connection if an answer was cut off. */
    void checkStalled() {
        if (up && channel.config().isAutoRead() && decoder.midMessage() && now() - waitingSince > STALLED_MS) {
            client.log().warn("connection closed: an answer has stopped short", "depot", uid);
            close();
        }
    }

    boolean isUp() {
        return up;
    }

    Channel channel() {
        return channel;
    }

    int load() {
        return open.size();
    }

    boolean idleFor(double ms) {
        return open.isEmpty() && now() - idleSince >= ms;
    }

    /** Applies back-pressure: while reading is off, answers are held back at the depot. */
    void read(boolean on) {
        channel.config().setAutoRead(on);
        waitingSince = now();
    }

    /** Accepts no new calls, and closes the connection once all open calls have ended. */
    void retire() {
        retired = true;
        closeIfDrained();
    }

    void close() {
        channel.close();
    }

    private void closeIfDrained() {
        if (retired && open.isEmpty()) {
            close();
        }
    }

    private void idleFromNow() {
        if (open.isEmpty()) {
            idleSince = now();
            // The calls were cancelled, not answered: the connection may not respond any more.
            retired |= up && now() - waitingSince > SILENT_MS;
            closeIfDrained();
        }
    }

    @Override
    public boolean acceptInboundMessage(Object message) {
        return message instanceof RespDecoder.Message;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        waitingSince = now();
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RespDecoder.Message message) {
        waitingSince = now();
        ByteBuf body = message.body();
        try {
            List<String> words = message.words();
            if (words.size() < 2) {
                throw new CorruptedFrameException("answer without a status");
            }
            Call call = open.remove(words.get(0));
            // An answer that crossed its cancel has no call any more.
            if (call != null) {
                Answer answer = answer(words.get(1), words.size() > 2 ? words.get(2) : "-", body);
                idleFromNow();
                call.ended(answer);
            }
        } finally {
            if (body != null) {
                body.release();
            }
        }
    }

    private Answer answer(String word, String fields, ByteBuf body) {
        Result result =
                switch (word) {
                    case "DONE", "KEEP", "FIT" -> Result.OK;
                    case "LACK" -> Result.MISS;
                    case "WAIT" -> Result.FULL;
                    case "PAST" -> Result.MOOT;
                    case "BROKE", "UNFIT" -> Result.ERROR;
                    default -> {
                        client.log().warn("unknown answer", "depot", uid, "word", word);
                        yield Result.ERROR;
                    }
                };
        ByteBuf kept = word.equals("DONE") && body != null ? body.retain() : null;
        if (word.equals("DONE") && kept == null) {
            client.log().warn("an answer without its bytes", "depot", uid);
            return Answer.of(Result.ERROR);
        }
        return new Answer(
                result,
                Resp.note(Resp.field(fields, "how")),
                Resp.load(Resp.field(fields, "stats"), client.reportFields()),
                kept,
                Resp.field(fields, "digest"));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        failAll(Result.RESET);
    }

    private void failAll(Result result) {
        closed = true;
        up = false;
        onClosed.run();
        List<Call> left = new ArrayList<>(open.values());
        open.clear();
        Result next = result;
        for (Call call : left) {
            // A call that was cancelled by the listener of an earlier call is not notified any more.
            if (call.ended(Answer.of(next)) && result == Result.RESET) {
                // Only the first call is reported as reset: it is a single fault of the node, however many calls were
                // open.
                next = Result.CANCELLED;
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            LogEvent.log(LOG.atDebug(), "connection lost", "depot", uid, "cause", cause.getMessage());
        } else {
            client.log().warn("connection closed", "depot", uid, "cause", cause.getMessage());
        }
        ctx.close();
    }
}
