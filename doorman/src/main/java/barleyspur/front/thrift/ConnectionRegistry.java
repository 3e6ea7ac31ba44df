package barleyspur.front.thrift;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who makes room when the clients' connections are all in use: first those that have never asked for anything, the
 * oldest first, then those that asked once and have nothing open, the longest idle first, and last those of which a
 * request is on its way in, the one that began first. Guards newcomers against crowds that connect and say nothing, and
 * against clients that keep a connection which they use no more. Those that are closing are counted apart: they keep a
 * place of their own for the moment in which their client reads the last answer.
 */
final class ConnectionRegistry<C> {

    /** A client that has only just connected may be about to ask: until then it goes last. */
    static final double NEW_MS = 250;

    /** Closing, the longest first. */
    private final Set<C> leaving = new LinkedHashSet<>();
    /** Never asked, by when they came. */
    private final Map<C, Double> strangers = new LinkedHashMap<>();
    /** Nothing open, by when that began. */
    private final Map<C, Double> idle = new LinkedHashMap<>();
    /** Nothing open, but part of a request has come; the longest under way first. */
    private final Set<C> arriving = new LinkedHashSet<>();

    /** A connection that has not asked yet. */
    void came(C connection, double now) {
        left(connection);
        strangers.put(connection, now);
    }

    /** It has something open now, and must stay. */
    void busy(C connection) {
        left(connection);
    }

    /** Nothing is open on it, but part of a request has come: it would be lost with the connection. */
    void arriving(C connection) {
        if (!arriving.contains(connection)) {
            left(connection);
            arriving.add(connection);
        }
    }

    /** Nothing is open on it any more. */
    void idle(C connection, double now) {
        left(connection);
        idle.put(connection, now);
    }

    /** It is being closed. */
    void leaving(C connection) {
        if (!leaving.contains(connection)) {
            left(connection);
            leaving.add(connection);
        }
    }

    void left(C connection) {
        strangers.remove(connection);
        idle.remove(connection);
        arriving.remove(connection);
        leaving.remove(connection);
    }

    /** How many are being closed. */
    int leaving() {
        return leaving.size();
    }

    /** The one that has been closing for longest; null: none is. */
    C closingLongest() {
        return leaving.isEmpty() ? null : leaving.iterator().next();
    }

    /** The one that has to go for a newcomer, which is closing from here on; null: all are in use. */
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
