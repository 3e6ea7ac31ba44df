package barleyspur.front.thrift;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the client connections that have no pending request and chooses which one to evict when the connection limit
 * is reached. The order is: connections that have never sent a request, oldest first; then idle connections, longest
 * idle first; then connections on which part of a request has been received, the one that started first. This keeps
 * the server reachable when many clients connect without sending anything or hold connections that they no longer use.
 * Connections that are closing are counted separately, because they stay open only until the client has read the last
 * response.
 */
final class ConnectionRegistry<C> {

    /** A connection younger than this is evicted only after the idle ones: its first request may be under way. */
    static final double NEW_CONNECTION_GRACE_MS = 250;

    /** Connections that are closing, in the order in which they began to. */
    private final Set<C> closing = new LinkedHashSet<>();
    /** Connections without any request so far, with the time of their accept. */
    private final Map<C, Double> neverUsed = new LinkedHashMap<>();
    /** Connections that have been used and have no pending request, with the time since when. */
    private final Map<C, Double> idle = new LinkedHashMap<>();
    /** Connections without a pending request on which part of a frame has been received, the earliest first. */
    private final Set<C> receiving = new LinkedHashSet<>();

    /** Registers a connection that has not sent a request yet. */
    void addNew(C connection, double nowMs) {
        remove(connection);
        neverUsed.put(connection, nowMs);
    }

    /** Records that the connection has a pending request, so that it can't be evicted. */
    void markBusy(C connection) {
        remove(connection);
    }

    /** Records that part of a request has been received; evicting the connection would lose that request. */
    void markReceiving(C connection) {
        if (!receiving.contains(connection)) {
            remove(connection);
            receiving.add(connection);
        }
    }

    /** Records that the connection has no pending request any more. */
    void markIdle(C connection, double nowMs) {
        remove(connection);
        idle.put(connection, nowMs);
    }

    /** Records that the connection is being closed. */
    void markClosing(C connection) {
        if (!closing.contains(connection)) {
            remove(connection);
            closing.add(connection);
        }
    }

    /** Removes the connection. */
    void remove(C connection) {
        neverUsed.remove(connection);
        idle.remove(connection);
        receiving.remove(connection);
        closing.remove(connection);
    }

    /** Returns the number of connections that are being closed. */
    int closingCount() {
        return closing.size();
    }

    /** Returns the connection that has been closing for the longest time, or null if none is. */
    C longestClosing() {
        return closing.isEmpty() ? null : closing.iterator().next();
    }

    /** Chooses the connection to evict and marks it as closing; returns null if all connections are in use. */
    C evictLeastActive(double nowMs) {
        boolean oldestPastGrace =
                !neverUsed.isEmpty() && nowMs - neverUsed.values().iterator().next() >= NEW_CONNECTION_GRACE_MS;
        Set<C> candidates = (oldestPastGrace || idle.isEmpty() ? neverUsed : idle).keySet();
        Iterator<C> iterator = (candidates.isEmpty() ? receiving : candidates).iterator();
        if (!iterator.hasNext()) {
            return null;
        }
        C evicted = iterator.next();
        markClosing(evicted);
        return evicted;
    }
}
