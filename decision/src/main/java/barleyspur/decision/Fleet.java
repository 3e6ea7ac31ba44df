package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The nodes on the list that may be named from here, by id and by role. */
final class Fleet {

    private final Director.Settings settings;
    /** By id, so that walks over it are in the same order everywhere. */
    final TreeMap<Long, Server> listed = new TreeMap<>();
    /** The ready ones by role, in the order of their ids; made anew when the list changes. */
    final List<Server> caches = new ArrayList<>();

    final List<Server> parents = new ArrayList<>();
    final Ring ring = new Ring();
    Server origin;
    /** Our attempts in flight to believed holders here: the sum of what each of the caches serves. */
    int serving;

    Fleet(Director.Settings settings) {
        this.settings = settings;
    }

    boolean isCache(Server s) {
        return s.node.kind() != settings.parentKind() && s.node.kind() != settings.originKind();
    }

    /** The ready nodes of the same role: caches of our location, or parents. */
    List<Server> peers(Server s) {
        return isCache(s) ? caches : parents;
    }

    /** A cache of another location, which can't be named from here. */
    boolean isElsewhere(Director.Node n) {
        boolean shared = n.kind() == settings.parentKind() || n.kind() == settings.originKind();
        return !shared && n.zone() != settings.zone();
    }

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
