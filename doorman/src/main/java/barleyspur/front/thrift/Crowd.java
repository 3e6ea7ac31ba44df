package barleyspur.front.thrift;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Who makes room when the clients' connections are all in use: first those that are being closed, then those that
 * have never asked for anything, the oldest first, then those that asked once and have nothing open, the longest idle first. Guards newcomers against
 * crowds that connect and say nothing, and against clients that keep a connection which they use no more.
 */
final class Crowd<C> {

    /** A client that has only just connected may be about to ask: until then it goes last. */
    static final double NEW_MS = 250;

    /** Told why they are closed, with a little time left to read it. */
    private final Set<C> leaving = new LinkedHashSet<>();
    /** Never asked, by when they came. */
    private final Map<C, Double> strangers = new LinkedHashMap<>();
    /** Nothing open, by when that began. */
    private final Map<C, Double> idle = new LinkedHashMap<>();

    /** A connection that has not asked yet. */
    void came(C connection, double now) {
        strangers.put(connection, now);
    }

    /** It has something open now, and must stay. */
    void busy(C connection) {
        strangers.remove(connection);
        idle.remove(connection);
    }

    /** Nothing is open on it any more. */
    void idle(C connection, double now) {
        strangers.remove(connection);
        idle.remove(connection);
        idle.put(connection, now);
    }

    /** It is being closed. */
    void leaving(C connection) {
        busy(connection);
        leaving.add(connection);
    }

    void left(C connection) {
        busy(connection);
        leaving.remove(connection);
    }

    /** Takes out the one that has to go for a newcomer; null: all are in use. */
    C makeRoom(double now) {
        boolean known = !strangers.isEmpty() && now - strangers.values().iterator().next() >= NEW_MS;
        Set<C> asked = known || idle.isEmpty() ? strangers.keySet() : idle.keySet();
        Iterator<C> from = (leaving.isEmpty() ? asked : leaving).iterator();
        if (!from.hasNext()) {
            return null;
        }
        C first = from.next();
        from.remove();
        return first;
    }
}
