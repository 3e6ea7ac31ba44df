package barleyspur.depot;

import barleyspur.decision.RoutingPolicy.Result;
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
 * One connection to a depot, and all that is open on it. Calls given to it before it is up are written once it
 * is; if it never comes up, they never ran. Nothing is sent again here: how a call ended is for the director.
 */
final class DepotConnection extends SimpleChannelInboundHandler<RespDecoder.Message> {

    private static final Logger LOG = LoggerFactory.getLogger("depot");

    /** Ids that are remembered, in times of what may be open: more than can end while an answer is on its way. */
    private static final int REMEMBERED = 8;
    /**
     * A connection on which calls wait and nothing has come for this long gets no new ones: a depot that broke off
     * in an answer says nothing further on it, though it stays open. Costs another connection where it was slow.
     */
    static final double SILENT_MS = 500;
    /** An answer of which a part has come and then nothing for this long was broken off. */
    static final double STALLED_MS = 500;

    /** What all connections of one client have in common. */
    record Shared(Clock clock, List<String> reportFields, int streams, CappedLog log) {}

    private final String uid;
    private final Shared client;
    private final RespDecoder decoder;
    private final Runnable onClosed;
    /** By id, since answers come in any order; in the order in which they were sent. */
    private final Map<String, Call> open = new LinkedHashMap<>();
    /** The ids that went out here lately. */
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
    /** Since when calls have been waiting here, or since something was last read. */
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

    /** One attempt or probe on this connection. It ends once: by its answer, by its connection's end, or given up. */
    final class Call implements Depots.Call {

        private enum State {
            /** For the connection to come up: no byte has gone out, so it never ran. */
            WAITING,
            /** Written; owed: its answer, or a word that it is given up. */
            SENT,
            /** Not admitted: owed is its end, which comes with the loop's next turn. */
            DENIED,
            /** Nothing is owed any more. */
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

        /** Forgets the call; its answer, should one come, has nobody waiting for it. */
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

        /** Sends it, unless it may no longer go. */
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

        /** Whether this was its end, and not one that crossed another. */
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

    /** Follows the connect; called once, right after it was begun. */
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
     * Opens a call. {@code head} makes what is sent first, once it is, from how long it has waited for that, in ms;
     * {@code body} null: a message of words alone; else it belongs to the call from now on.
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
     * Whether a call under this id may go out here. Not while the depot does not read or has fallen silent, and not
     * where the id went out before: an answer on its way to the earlier attempt of the same request, or a second
     * copy of it, would be taken for the later one's.
     */
    boolean takes(String id, int streams) {
        boolean able = !closed && !retired && open.size() < streams && (!up || channel.isWritable() && !silent());
        return able && !used.contains(id);
    }

    private boolean silent() {
        return !open.isEmpty() && now() - waitingSince > SILENT_MS;
    }

    /** Ends the connection if an answer has stopped short. */
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

    /** Back-pressure: while it is not read, a depot's answers wait on its own side. */
    void read(boolean on) {
        channel.config().setAutoRead(on);
        waitingSince = now();
    }

    /** Takes nothing new, and closes once what is open has ended. */
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
            // Its calls were given up, not answered: it may be of no further use.
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
                throw new CorruptedFrameException("an answer without a word");
            }
            Call call = open.remove(words.get(0));
            // An answer that crossed its cancel has nobody waiting for it.
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
            // One that an earlier one's outcome has given up has no end any more.
            if (call.ended(Answer.of(next)) && result == Result.RESET) {
                // One fault of the node's, however many were open: the others only went down with the connection.
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
