package barleyspur.front.thrift;

import barleyspur.doorman.CappedLog;
import barleyspur.doorman.Clock;
import barleyspur.doorman.RequestTrace;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Writes the messages of one client connection, each completely or not at all, and counts those that haven't been
 * written to the socket yet. If no data can be written for as long as any client waits for a response, the
 * {@link Listener} is notified: by then every response that is still unwritten has missed its deadline.
 */
final class ResponseWriter {

    private static final String DISPATCH = "dispatch";
    private static final String ALIVE = "alive";

    /** Receives the results of writing; implemented by the connection. */
    interface Listener {
        /** Called when the last unwritten message has been written. */
        void allWritten();

        /** Called when nothing could be written for too long. */
        void stuck();

        /** Called when a write has failed: the client misses a response, so the connection can't be kept. */
        void lost(Throwable cause);
    }

    private final Channel channel;
    private final Clock clock;
    private final UnreadAnswers unread;
    private final CappedLog log;
    private final DoubleSupplier longestWaitMs;
    private final Listener listener;
    private Clock.Timer stuckTimer;
    /** When the last message was written to the socket, or when the socket stopped being writable. */
    private double stuckSince;
    /** Number of messages that are queued and not yet written to the socket. */
    private int unwritten;

    /** Creates a writer; {@code longestWaitMs} supplies the longest time that any client waits for a response. */
    ResponseWriter(
            Channel channel,
            Clock clock,
            UnreadAnswers unread,
            CappedLog log,
            DoubleSupplier longestWaitMs,
            Listener listener) {
        this.channel = channel;
        this.clock = clock;
        this.unread = unread;
        this.log = log;
        this.longestWaitMs = longestWaitMs;
        this.listener = listener;
    }

    /** Returns the number of messages that are queued and not yet written to the socket. */
    int unwritten() {
        return unwritten;
    }

    /** Writes a successful response with {@code body}, which is released once it has been written. */
    void served(int seqid, String requestId, ByteBuf body, Map<String, String> fields) {
        int bodyBytes = body.readableBytes();
        ByteBuf message;
        try {
            message = answer(DISPATCH, seqid, body, fields, true);
        } catch (RuntimeException e) {
            log.warn("a response could not be encoded", "client", channel.remoteAddress(), "cause", e);
            failed(seqid, requestId);
            return;
        }
        write(message, bodyBytes, requestId, "served");
    }

    /** Writes a refusal with fields for the client, such as a retry delay. */
    void refused(int seqid, String requestId, Map<String, String> advice) {
        write(Thrift.busy(channel.alloc(), DISPATCH, seqid, advice), 0, requestId, "refused");
    }

    /** Writes that a request has failed. */
    void failed(int seqid, String requestId) {
        write(Thrift.failed(channel.alloc(), DISPATCH, seqid), 0, requestId, "failed");
    }

    /** Responds to {@code alive} with whether this process accepts requests. */
    void alive(int seqid, boolean ready) {
        write(answer(ALIVE, seqid, Unpooled.EMPTY_BUFFER, Map.of(), ready), 0, "", ALIVE);
    }

    /** Writes an application exception in response to a call. */
    void exception(String method, int seqid, int kind, String message) {
        write(Thrift.exception(channel.alloc(), method, seqid, kind, message), 0, "", "exception");
    }

    /** Encodes a response without copying its body, as a single message: parts could fail to be written separately. */
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
            RequestTrace.written(requestId, how, bytes, out.cause());
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

    /** Starts the stall time-out if {@code watch}, else stops it; called when the socket's writability changes. */
    void writabilityChanged(boolean watch) {
        stop();
        if (watch) {
            stuckSince = clock.nowMs();
            watchStuck(longestWaitMs.getAsDouble());
        }
    }

    private void watchStuck(double ms) {
        stuckTimer = clock.after(ms, () -> {
            double left = stuckSince + longestWaitMs.getAsDouble() - clock.nowMs();
            if (left > 0) {
                watchStuck(left);
            } else {
                listener.stuck();
            }
        });
    }

    /** Stops the stall time-out. */
    void stop() {
        if (stuckTimer != null) {
            stuckTimer.cancel();
            stuckTimer = null;
        }
    }
}
