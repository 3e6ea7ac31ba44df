package barleyspur.front.thrift;

import barleyspur.doorman.Clock;
import barleyspur.doorman.RateLimitedLog;
import barleyspur.doorman.RequestTrace;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Writes the messages of one client connection, each whole or not at all, and counts those that are not out yet. A
 * client to which nothing goes out for as long as any waits for an answer is reported to the {@link Listener}: what is
 * still unread then was for nobody.
 */
final class ResponseWriter {

    private static final String DISPATCH = "dispatch";
    private static final String ALIVE = "alive";

    /** The connection whose messages are written. */
    interface Listener {
        /** The last message that waited is out. */
        void allWritten();

        /** Nothing has gone out for too long. */
        void stuck();

        /** An answer could not be written, so its client has none: the connection can't go on. */
        void lost(Throwable cause);
    }

    private final Channel channel;
    private final Clock clock;
    private final UnreadAnswers unread;
    private final RateLimitedLog log;
    private final DoubleSupplier longestWaitMs;
    private final Listener listener;
    private Clock.Timer stuckTimer;
    /** Since when nothing that was written has gone out, where something waits. */
    private double stuckSince;
    /** Messages written and not yet out. */
    private int unwritten;

    /** {@code longestWaitMs}: how long a client waits for an answer at most. */
    ResponseWriter(
            Channel channel,
            Clock clock,
            UnreadAnswers unread,
            RateLimitedLog log,
            DoubleSupplier longestWaitMs,
            Listener listener) {
        this.channel = channel;
        this.clock = clock;
        this.unread = unread;
        this.log = log;
        this.longestWaitMs = longestWaitMs;
        this.listener = listener;
    }

    /** How many messages are written and not yet out. */
    int unwritten() {
        return unwritten;
    }

    /** Answers a request with {@code body}, which is released once it is out. */
    void served(int seqid, String requestId, ByteBuf body, Map<String, String> fields) {
        int bodyBytes = body.readableBytes();
        ByteBuf message;
        try {
            message = answer(DISPATCH, seqid, body, fields, true);
        } catch (RuntimeException e) {
            log.warn("an answer could not be written", "client", channel.remoteAddress(), "cause", e);
            failed(seqid, requestId);
            return;
        }
        write(message, bodyBytes, requestId, "served");
    }

    /** Refuses a request. */
    void refused(int seqid, String requestId, Map<String, String> advice) {
        write(Thrift.busy(channel.alloc(), DISPATCH, seqid, advice), 0, requestId, "refused");
    }

    /** Fails a request. */
    void failed(int seqid, String requestId) {
        write(Thrift.failed(channel.alloc(), DISPATCH, seqid), 0, requestId, "failed");
    }

    /** Says whether this process takes work. */
    void alive(int seqid, boolean ready) {
        write(answer(ALIVE, seqid, Unpooled.EMPTY_BUFFER, Map.of(), ready), 0, "", ALIVE);
    }

    /** Answers a call with an application exception. */
    void exception(String method, int seqid, int kind, String message) {
        write(Thrift.exception(channel.alloc(), method, seqid, kind, message), 0, "", "exception");
    }

    /** The body is not copied. One message, so that no part of it can fail while the others go out. */
    private ByteBuf answer(String method, int seqid, ByteBuf body, Map<String, String> fields, boolean good) {
        ByteBuf tail = Thrift.answerTail(channel.alloc(), fields, good);
        ByteBuf head = Thrift.answerHead(channel.alloc(), method, seqid, body.readableBytes(), tail.readableBytes());
        return Unpooled.wrappedBuffer(head, body, tail);
    }

    private void write(ByteBuf message, int bodyBytes, String requestId, String how) {
        int bytes = message.readableBytes();
        unread.add(bodyBytes);
        unwritten++;
        channel.writeAndFlush(message).addListener(out -> {
            unread.add(-bodyBytes);
            RequestTrace.answerWritten(requestId, how, bytes, out.cause());
            written(out.cause());
        });
    }

    private void written(Throwable failure) {
        stuckSince = clock.nowMs();
        unwritten--;
        if (failure != null && channel.isActive()) {
            listener.lost(failure);
        } else if (unwritten == 0) {
            listener.allWritten();
        }
    }

    /** The socket takes no more for now, or takes more again: a client to which nothing goes out is watched. */
    void writabilityChanged(boolean watch) {
        stop();
        if (watch) {
            stuckSince = clock.nowMs();
            watchStuck(longestWaitMs.getAsDouble());
        }
    }

    private void watchStuck(double ms) {
        stuckTimer = clock.schedule(ms, () -> {
            double left = stuckSince + longestWaitMs.getAsDouble() - clock.nowMs();
            if (left > 0) {
                watchStuck(left);
            } else {
                listener.stuck();
            }
        });
    }

    /** Watches no longer. */
    void stop() {
        if (stuckTimer != null) {
            stuckTimer.cancel();
            stuckTimer = null;
        }
    }
}
