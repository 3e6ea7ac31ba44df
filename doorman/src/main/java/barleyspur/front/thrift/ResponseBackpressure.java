package barleyspur.front.thrift;

import barleyspur.log.LogEvent;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the bytes of response bodies that are queued for clients, and signals when reading from depots has to stop and
 * may resume. Without this limit slow clients could use up the direct memory; reads from depots would then fail, and
 * the failures would be attributed to the depots.
 *
 * <p>While reading is stopped no client is served. So that a few slow clients can't bring this about, the last part of
 * the limit is reserved for connections with less than an equal share of the rest.
 */
final class ResponseBackpressure {

    private static final Logger LOG = LoggerFactory.getLogger("front");
    /** The share of the limit that all connections may use, whatever each has queued. */
    private static final double SHARED_PART = 0.75;

    private final long maxBytes;
    private final Consumer<Boolean> onOverLimit;
    private long bytes;
    private boolean overLimit;
    /** The number of connections that have responses queued. */
    private int queueingConnections;

    ResponseBackpressure(long maxBytes, Consumer<Boolean> onOverLimit) {
        this.maxBytes = maxBytes;
        this.onOverLimit = onOverLimit;
    }

    /** The responses that are queued for one connection. */
    final class ConnectionQueue {
        private long queuedBytes;

        /** Adds the bytes of a response, or subtracts them once they are written or dropped. */
        void add(long change) {
            boolean wasEmpty = queuedBytes == 0;
            queuedBytes += change;
            if (wasEmpty != (queuedBytes == 0)) {
                queueingConnections += wasEmpty ? 1 : -1;
            }
            addToAll(change);
        }

        /**
         * Returns whether a response may be queued: not if most of the limit is used and this connection would have
         * more than an equal share of it.
         */
        boolean mayQueue(int responseBytes) {
            double sharedBytes = SHARED_PART * maxBytes;
            int connections = queueingConnections + (queuedBytes == 0 ? 1 : 0);
            return bytes + responseBytes <= sharedBytes || queuedBytes + responseBytes <= sharedBytes / connections;
        }
    }

    /** Returns the queue of a new connection. */
    ConnectionQueue newConnection() {
        return new ConnectionQueue();
    }

    private void addToAll(long change) {
        bytes += change;
        if (!overLimit && bytes > maxBytes) {
            overLimit = true;
            LogEvent.log(LOG.atWarn(), "answers are unread: depots are not read", "bytes", bytes);
            onOverLimit.accept(true);
        } else if (overLimit && bytes <= maxBytes / 2) {
            overLimit = false;
            LogEvent.log(LOG.atInfo(), "answers are unread: depots are read again", "bytes", bytes);
            onOverLimit.accept(false);
        }
    }

    /** Whether reading from depots is stopped: above the limit, and then until half of it is reached. */
    boolean isOverLimit() {
        return overLimit;
    }
}
