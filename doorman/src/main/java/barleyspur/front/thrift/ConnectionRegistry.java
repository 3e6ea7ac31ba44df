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
    static final double NEW_MS = 250;

    /** Connections that are closing, in the order in which they began to. */
    private final Set<C> leaving = new LinkedHashSet<>();
    /** Connections without any request so far, with the time of their accept. */
    private final Map<C, Double> strangers = new LinkedHashMap<>();
    /** Connections that have been used and have no pending request, with the time since when. */
    private final Map<C, Double> idle = new LinkedHashMap<>();
    /** Connections without a pending request on which part of a frame has been received, the earliest first. */
    private final Set<C> arriving = new LinkedHashSet<>();

    /** Registers a connection that has not sent a request yet. */
    void came(C connection, double now) {
        left(connection);
        strangers.put(connection, now);
    }

    /** Records that the connection has a pending request, so that it can't be evicted. */
    void busy(C connection) {
        left(connection);
    }

    /** Records that part of a request has been received; evicting the connection would lose that request. */
    void arriving(C connection) {
        if (!arriving.contains(connection)) {
            left(connection);
            arriving.add(connection);
        }
    }

    /** Records that the connection has no pending request any more. */
    void idle(C connection, double now) {
        left(connection);
        idle.put(connection, now);
    }

    /** Records that the connection is being closed. */
    void leaving(C connection) {
        if (!leaving.contains(connection)) {
            left(connection);
            leaving.add(connection);
        }
    }

    /** Removes the connection. */
    void left(C connection) {
        strangers.remove(connection);
        idle.remove(connection);
        arriving.remove(connection);
        leaving.remove(connection);
    }

    /** Returns the number of connections that are being closed. */
    int leaving() {
        return leaving.size();
    }

    /** Returns the connection that has been closing for the longest time, or null if none is. */
    C closingLongest() {
        return leaving.isEmpty() ? null : leaving.iterator().next();
    }

    /** Chooses the connection to evict and marks it as closing; returns null if all connections are in use. */
    C evictIdle(double now) {
        boolean known =
                !strangers.isEmpty() && now - strangers.values().iterator().next() >= NEW_MS;
        Set<C> useless = (known || idle.isEmpty() ? strangers : idle).keySet();
        Iterator<C> from = (useless.isEmpty() ? arriving : useless).iterator();
        if (!from.hasNext()) {
            return null;
        }
        C first = from.next();
        leaving(first);
        return first;
    }
}
