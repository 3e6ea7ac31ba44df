package barleyspur.front.thrift;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks the client connections that have no pending request and chooses which one to evict when the connection limit
 * is reached, among those on which nothing is owed to the client. The order is: connections that have never sent a request, oldest first; then idle connections, longest
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

    private final Predicate<C> isSettled;
    private final Predicate<C> isDelivering;

    /**
     * Creates an empty registry.
     *
     * @param isSettled    whether nothing is owed to the client of a connection
     * @param isDelivering whether the client of a closing connection may still be reading answers
     */
    ConnectionRegistry(Predicate<C> isSettled, Predicate<C> isDelivering) {
        this.isSettled = isSettled;
        this.isDelivering = isDelivering;
    }

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

    /**
     * Returns the connection that has been closing for the longest time, one whose client can't be reading any more
     * before the others, or null if none is closing.
     */
    C longestClosing() {
        C first = firstOf(closing, connection -> !isDelivering.test(connection));
        return first != null || closing.isEmpty() ? first : closing.iterator().next();
    }

    /**
     * Chooses the connection to evict and marks it as closing; returns null if all connections are in use, or owe their
     * clients something.
     */
    C evictLeastActive(double nowMs) {
        C evicted = leastActive(nowMs);
        if (evicted != null) {
            markClosing(evicted);
        }
        return evicted;
    }

    private C leastActive(double nowMs) {
        boolean oldestPastGrace =
                !neverUsed.isEmpty() && nowMs - neverUsed.values().iterator().next() >= NEW_CONNECTION_GRACE_MS;
        List<Set<C>> order = oldestPastGrace
                ? List.of(neverUsed.keySet(), idle.keySet(), receiving)
                : List.of(idle.keySet(), neverUsed.keySet(), receiving);
        for (Set<C> candidates : order) {
            C found = firstOf(candidates, isSettled);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private static <C> C firstOf(Set<C> connections, Predicate<C> condition) {
        for (C connection : connections) {
            if (condition.test(connection)) {
                return connection;
            }
        }
        return null;
    }
}
