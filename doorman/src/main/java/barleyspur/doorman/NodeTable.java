package barleyspur.doorman;

import barleyspur.decision.Director;
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
    private static final int NODES_A_LINE = 64;

    /**
     * The changes made by one list.
     *
     * @param kind how the director has to read the list
     * @param nodes the listed nodes in the director's form
     * @param invalidated the numbers of nodes for which attempts decided earlier must not be sent any more
     */
    record Change(Director.ListKind kind, List<Director.Node> nodes, Set<Long> invalidated) {}

    private final Depots depots;
    private final Map<Long, NodeListing> listed = new HashMap<>();
    private boolean listedOnce;

    NodeTable(Depots depots) {
        this.depots = depots;
    }

    /** Returns the latest listing of a node, or null if the node is unknown or gone. */
    NodeListing get(long node) {
        return listed.get(node);
    }

    /** Applies a list of nodes: all nodes if {@code full}, otherwise only the changes. */
    Change apply(boolean whole, List<NodeListing> listings) {
        Director.ListKind full = listedOnce ? Director.ListKind.FULL : Director.ListKind.CACHED;
        Change change =
                new Change(whole ? full : Director.ListKind.DELTA, new ArrayList<>(listings.size()), new HashSet<>());
        listedOnce = true;
        List<String> added = new ArrayList<>();
        List<String> draining = new ArrayList<>();
        List<String> gone = new ArrayList<>();
        if (whole) {
            retireOmitted(listings, change);
        }
        for (NodeListing l : listings) {
            long node = l.node();
            NodeListing known = listed.get(node);
            if (known != null && !known.uid().equals(l.uid())) {
                LogEvent.log(
                        LOG.atError(),
                        "node passed over: its number is another's",
                        "uid",
                        l.uid(),
                        "node",
                        node,
                        "other",
                        known.uid());
                continue;
            }
            if (l.state() != Director.State.READY || known != null && !known.sameProcess(l)) {
                change.invalidated.add(node);
            }
            if (l.state() == Director.State.GONE) {
                gone.add(Long.toString(node));
                retire(node);
            } else {
                if (known == null) {
                    added.add(describe(node, l));
                }
                if (l.state() == Director.State.DRAINING) {
                    draining.add(Long.toString(node));
                }
                listed.put(node, l);
                depots.list(node, l);
            }
            change.nodes.add(new Director.Node(node, l.zone(), l.kind(), l.cell(), l.state(), l.size(), l.bootMs()));
        }
        log("nodes are listed", added);
        log("nodes drain", draining);
        log("nodes are gone", gone);
        return change;
    }

    /** Removes the nodes that a full list does not contain. */
    private void retireOmitted(List<NodeListing> listings, Change change) {
        change.invalidated.addAll(listed.keySet());
        listings.forEach(l -> change.invalidated.remove(l.node()));
        change.invalidated.forEach(this::retire);
    }

    private void retire(long node) {
        listed.remove(node);
        depots.retire(node);
    }

    private static String describe(long node, NodeListing l) {
        return node + "=" + l.uid() + "@" + l.address().getHostString() + ":"
                + l.address().getPort() + "/" + l.kind() + "/" + (long) l.bootMs();
    }

    private static void log(String event, List<String> nodes) {
        for (int from = 0; from < nodes.size(); from += NODES_A_LINE) {
            List<String> line = nodes.subList(from, Math.min(nodes.size(), from + NODES_A_LINE));
            LogEvent.log(LOG.atInfo(), event, "count", line.size(), "nodes", String.join(",", line));
        }
    }
}
