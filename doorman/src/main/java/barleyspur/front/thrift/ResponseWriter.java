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
 * Writes the messages of one client connection, each completely or not at all, and counts those that haven't been
 * written to the socket yet. If no data can be written for as long as any client waits for a response, the
 * {@link Listener} is notified: by then every response that is still unwritten has missed its deadline.
 */
final class ResponseWriter {

    private static final String DISPATCH = "dispatch";
    private static final String ALIVE = "alive";
    /** The most messages that are written together: few enough that their number tells what the client doesn't read. */
    private static final int MAX_UNFLUSHED = 16;

    /** Receives the results of writing; implemented by the connection. */
    interface Listener {
        /** Called when the last unwritten message has been written. */
        void allWritten();

        /** Called when nothing could be written for too long. */
        void stalled();

        /** Called when a write has failed: the client misses a response, so the connection can't be kept. */
        void writeFailed(Throwable cause);
    }

    private final Channel channel;
    private final Clock clock;
    private final ResponseBackpressure.ConnectionQueue queue;
    private final RateLimitedLog log;
    private final DoubleSupplier longestWaitMs;
    private final Listener listener;
    private final UnreadAnswers unread;
    private Clock.Timer stallTimer;
    /** When the last message was written to the socket, or when the socket stopped being writable. */
    private double stalledSinceMs;
    /** Number of messages that are queued and not yet written to the socket. */
    private int unwritten;

    private long unwrittenBytes;
    /** Whether the connection's input is being read, so that further messages may follow at once. */
    private boolean reading;
    /** Number of messages that were passed to the channel since the last flush. */
    private int unflushed;

    /**
     * Creates a writer.
     *
     * @param longestWaitMs   supplies the longest time that any client waits for a response
     * @param maxOpenRequests how many requests a client may have open
     */
    ResponseWriter(
            Channel channel,
            Clock clock,
            ResponseBackpressure backpressure,
            RateLimitedLog log,
            DoubleSupplier longestWaitMs,
            int maxOpenRequests,
            Listener listener) {
        this.channel = channel;
        this.clock = clock;
        this.queue = backpressure.newConnection();
        this.log = log;
        this.longestWaitMs = longestWaitMs;
        this.listener = listener;
        this.unread = new UnreadAnswers(maxOpenRequests);
    }

    /** Returns the number of messages that are queued and not yet written to the socket. */
    int unwritten() {
        return unwritten;
    }

    /** Returns for how long the client may still be reading what has been queued or written, in milliseconds. */
    double remainingReadMs() {
        return unread.remainingMs(clock.nowMs()) + unwrittenBytes / UnreadAnswers.READ_BYTES_PER_MS;
    }

    /** Returns whether a response with this body may be queued, as the client has not too many unread ones. */
    boolean mayQueue(ByteBuf body) {
        return queue.mayQueue(body.readableBytes());
    }

    /** Writes a successful response with {@code body}, which is released once it has been written. */
    void writeServed(int seqid, String requestId, ByteBuf body, Map<String, String> fields) {
        int bodyBytes = body.readableBytes();
        ByteBuf message;
        try {
            message = encodeResponse(DISPATCH, seqid, body, fields, true);
        } catch (RuntimeException e) {
            log.warn("a response could not be encoded", "client", channel.remoteAddress(), "cause", e);
            writeFailed(seqid, requestId);
            return;
        }
        write(message, bodyBytes, requestId, "served");
    }

    /** Writes a refusal with fields for the client, such as a retry delay. */
    void writeRefused(int seqid, String requestId, Map<String, String> fields) {
        write(ThriftProtocol.encodeBusy(channel.alloc(), DISPATCH, seqid, fields), 0, requestId, "refused");
    }

    /** Writes that a request has failed. */
    void writeFailed(int seqid, String requestId) {
        write(ThriftProtocol.encodeFailed(channel.alloc(), DISPATCH, seqid), 0, requestId, "failed");
    }

    /** Responds to {@code alive} with whether this process accepts requests. */
    void writeAlive(int seqid, boolean ready) {
        write(encodeResponse(ALIVE, seqid, Unpooled.EMPTY_BUFFER, Map.of(), ready), 0, "", ALIVE);
    }

    /** Writes an application exception in response to a call. */
    void writeException(String method, int seqid, int kind, String message) {
        write(ThriftProtocol.encodeException(channel.alloc(), method, seqid, kind, message), 0, "", "exception");
    }

    /** Encodes a response without copying its body, as a single message: parts could fail to be written separately. */
    private ByteBuf encodeResponse(
            String method, int seqid, ByteBuf body, Map<String, String> fields, boolean success) {
        ByteBuf tail = ThriftProtocol.encodeResponseEnd(channel.alloc(), fields, success);
        ByteBuf head = ThriftProtocol.encodeResponseStart(
                channel.alloc(), method, seqid, body.readableBytes(), tail.readableBytes());
        return Unpooled.wrappedBuffer(head, body, tail);
    }

    private void write(ByteBuf message, int bodyBytes, String requestId, String outcome) {
        int bytes = message.readableBytes();
        queue.add(bodyBytes);
        unwritten++;
        unwrittenBytes += bytes;
        channel.write(message).addListener(future -> {
            queue.add(-bodyBytes);
            RequestTrace.answerWritten(requestId, outcome, bytes, future.cause());
            written(bytes, future.cause());
        });
        if (!reading || ++unflushed >= MAX_UNFLUSHED) {
            flush();
        }
    }

    /** Called when a message of the client is read: what is written until {@link #readComplete} goes out together. */
    void reading() {
        reading = true;
    }

    /** Called when all input of this iteration of the event loop has been read. */
    void readComplete() {
        reading = false;
        if (unflushed > 0) {
            flush();
        }
    }

    private void flush() {
        unflushed = 0;
        channel.flush();
    }

    private void written(int bytes, Throwable failure) {
        stalledSinceMs = clock.nowMs();
        unread.add(bytes, stalledSinceMs);
        unwritten--;
        unwrittenBytes -= bytes;
        if (failure != null && channel.isActive()) {
            listener.writeFailed(failure);
        } else if (unwritten == 0) {
            listener.allWritten();
        }
    }

    /** Starts the stall time-out if {@code watch}, else stops it; called when the socket's writability changes. */
    void writabilityChanged(boolean watch) {
        stopStallTimer();
        if (watch) {
            stalledSinceMs = clock.nowMs();
            startStallTimer(longestWaitMs.getAsDouble());
        }
    }

    private void startStallTimer(double delayMs) {
        stallTimer = clock.schedule(delayMs, () -> {
            double remainingMs = stalledSinceMs + longestWaitMs.getAsDouble() - clock.nowMs();
            if (remainingMs > 0) {
                startStallTimer(remainingMs);
            } else {
                listener.stalled();
            }
        });
    }

    /** Stops the stall time-out. */
    void stopStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
    }
}
