package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The listed nodes that this doorman may use, by id and by role: its zone's caches, all parents and the
 * origin.
 */
final class Fleet {

    private final Director.Settings settings;
    /** All nodes by id. The map is sorted so that each doorman iterates over it in the same order. */
    final TreeMap<Long, Server> listed = new TreeMap<>();
    /** The ready caches, in the order of their ids. */
    final List<Server> caches = new ArrayList<>();
    /** The ready parents, in the order of their ids. */
    final List<Server> parents = new ArrayList<>();
    /** Scores {@link #parents} by their index. */
    final Ring ring = new Ring();
    /** The ready origin with the lowest id, or null. */
    Server origin;
    /** This doorman's attempts in flight that are expected to hit, summed over {@link #caches}. */
    int serving;

    Fleet(Director.Settings settings) {
        this.settings = settings;
    }

    /** Returns whether a node is a cache, which is neither a parent nor an origin. */
    boolean isCache(Server s) {
        return s.node.kind() != settings.parentKind() && s.node.kind() != settings.originKind();
    }

    /** Returns the ready nodes of the same role: the location's caches, or the parents. */
    List<Server> peers(Server s) {
        return isCache(s) ? caches : parents;
    }

    /** Returns whether a node is a cache of another location, which this doorman can't use. */
    boolean isElsewhere(Director.Node n) {
        boolean shared = n.kind() == settings.parentKind() || n.kind() == settings.originKind();
        return !shared && n.zone() != settings.zone();
    }

    /** Rebuilds the lists by role after {@link #listed} has changed. */
    void index() {
        caches.clear();
        parents.clear();
        origin = null;
        serving = 0;
        for (Server s : listed.values()) {
            if (s.ready() && isCache(s)) {
                caches.add(s);
                serving += s.serving;
            } else if (s.ready() && s.node.kind() == settings.parentKind()) {
                parents.add(s);
            } else if (s.ready() && origin == null) {
                origin = s;
            }
        }
        ring.set(parents);
    }
}
