package barleyspur.doorman;

import barleyspur.decision.RoutingPolicy;
import barleyspur.log.LogEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The latest listing of each known node. Passes additions and removals on to the depot client. */
final class NodeTable {

    private static final Logger LOG = LoggerFactory.getLogger("doorman");
    /**
     * Limits the nodes named in one log line. One line for each of a thousand nodes would block the event loop for too
     * long.
     */
    private static final int MAX_NODES_PER_LINE = 64;

    /**
     * The changes made by one list.
     *
     * @param kind how the routing policy has to interpret the list
     * @param nodes the listed nodes in the routing policy's form
     * @param invalidated the numbers of nodes for which attempts decided earlier must not be sent any more
     */
    record Change(RoutingPolicy.ListKind kind, List<RoutingPolicy.Node> nodes, Set<Long> invalidated) {}

    private final Depots depots;
    private final Map<Long, NodeListing> nodes = new HashMap<>();
    private boolean receivedList;

    NodeTable(Depots depots) {
        this.depots = depots;
    }

    /** Returns the latest listing of a node, or null if the node is unknown or gone. */
    NodeListing get(long node) {
        return nodes.get(node);
    }

    /** Applies a list of nodes: all nodes if {@code full}, otherwise only the changes. */
    Change apply(boolean full, List<NodeListing> listings) {
        RoutingPolicy.ListKind fullListKind =
                receivedList ? RoutingPolicy.ListKind.FULL : RoutingPolicy.ListKind.CACHED;
        Change change = new Change(
                full ? fullListKind : RoutingPolicy.ListKind.DELTA, new ArrayList<>(listings.size()), new HashSet<>());
        receivedList = true;
        List<String> added = new ArrayList<>();
        List<String> draining = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        if (full) {
            removeUnlisted(listings, change);
        }
        for (NodeListing listing : listings) {
            long node = listing.nodeNumber();
            NodeListing known = nodes.get(node);
            if (known != null && !known.uid().equals(listing.uid())) {
                LogEvent.log(
                        LOG.atError(),
                        "node passed over: its number is another's",
                        "uid",
                        listing.uid(),
                        "node",
                        node,
                        "other",
                        known.uid());
                continue;
            }
            if (listing.state() != RoutingPolicy.State.READY || known != null && !known.isSameProcessAs(listing)) {
                change.invalidated.add(node);
            }
            if (listing.state() == RoutingPolicy.State.GONE) {
                gone.add(Long.toString(node));
                remove(node);
            } else {
                if (known == null) {
                    added.add(describe(node, listing));
                }
                if (listing.state() == RoutingPolicy.State.DRAINING) {
                    draining.add(Long.toString(node));
                }
                nodes.put(node, listing);
                depots.updateNode(node, listing);
            }
            change.nodes.add(new RoutingPolicy.Node(
                    node,
                    listing.zone(),
                    listing.kind(),
                    listing.cell(),
                    listing.state(),
                    listing.size(),
                    listing.bootMs()));
        }
        log("nodes are listed", added);
        log("nodes drain", draining);
        log("nodes are gone", gone);
        return change;
    }

    /** Removes the nodes that a full list does not contain. */
    private void removeUnlisted(List<NodeListing> listings, Change change) {
        change.invalidated.addAll(nodes.keySet());
        listings.forEach(l -> change.invalidated.remove(l.nodeNumber()));
        change.invalidated.forEach(this::remove);
    }

    private void remove(long node) {
        nodes.remove(node);
        depots.removeNode(node);
    }

    private static String describe(long node, NodeListing listing) {
        return node + "=" + listing.uid() + "@" + listing.address().getHostString() + ":"
                + listing.address().getPort() + "/" + listing.kind() + "/" + (long) listing.bootMs();
    }

    private static void log(String event, List<String> nodes) {
        for (int from = 0; from < nodes.size(); from += MAX_NODES_PER_LINE) {
            List<String> line = nodes.subList(from, Math.min(nodes.size(), from + MAX_NODES_PER_LINE));
            LogEvent.log(LOG.atInfo(), event, "count", line.size(), "nodes", String.join(",", line));
        }
    }
}
