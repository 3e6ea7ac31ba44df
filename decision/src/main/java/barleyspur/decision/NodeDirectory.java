package barleyspur.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The listed nodes that this doorman may use, by id and by role: its zone's caches, all parents and the
 * origin.
 */
final class NodeDirectory {

    private final RoutingPolicy.Settings settings;
    /** All nodes by id. The map is sorted so that each doorman iterates over it in the same order. */
    final TreeMap<Long, TrackedNode> listed = new TreeMap<>();
    /** The ready caches, in the order of their ids. */
    final List<TrackedNode> caches = new ArrayList<>();
    /** The ready parents, in the order of their ids. */
    final List<TrackedNode> parents = new ArrayList<>();
    /** Scores {@link #parents} by their index. */
    final RendezvousScorer parentScorer = new RendezvousScorer();
    /** The ready origin with the lowest id, or null. */
    TrackedNode origin;
    /** This doorman's attempts in flight that are expected to hit, summed over {@link #caches}. */
    int hitsInFlight;

    NodeDirectory(RoutingPolicy.Settings settings) {
        this.settings = settings;
    }

    /** Returns whether a node is a cache, which is neither a parent nor an origin. */
    boolean isCache(TrackedNode node) {
        return node.listing.kind() != settings.parentKind() && node.listing.kind() != settings.originKind();
    }

    /** Returns the ready nodes of the same role: the location's caches, or the parents. */
    List<TrackedNode> peers(TrackedNode node) {
        return isCache(node) ? caches : parents;
    }

    /** Returns whether a node is a cache of another location, which this doorman can't use. */
    boolean isCacheOfAnotherZone(RoutingPolicy.Node listing) {
        boolean shared = listing.kind() == settings.parentKind() || listing.kind() == settings.originKind();
        return !shared && listing.zone() != settings.zone();
    }

    /** Rebuilds the lists by role after {@link #listed} has changed. */
    void rebuildRoles() {
        caches.clear();
        parents.clear();
        origin = null;
        hitsInFlight = 0;
        for (TrackedNode node : listed.values()) {
            if (node.isReady() && isCache(node)) {
                caches.add(node);
                hitsInFlight += node.hitsInFlight;
            } else if (node.isReady() && node.listing.kind() == settings.parentKind()) {
                parents.add(node);
            } else if (node.isReady() && origin == null) {
                origin = node;
            }
        }
        parentScorer.setNodes(parents);
    }
}
