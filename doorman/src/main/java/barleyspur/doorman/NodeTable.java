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

/** What was last listed of each node that is there, kept in step with the connections to them. */
final class NodeTable {

    private static final Logger LOG = LoggerFactory.getLogger("doorman");
    /** A log line names so many nodes: one for each of a thousand would hold up the event loop. */
    private static final int NODES_A_LINE = 64;

    /**
     * What a list told: the nodes in the director's form, and the numbers of those on which work that was decided
     * before must not go out any more.
     */
    record Change(RoutingPolicy.ListKind kind, List<RoutingPolicy.Node> nodes, Set<Long> invalidated) {}

    private final Depots depots;
    private final Map<Long, NodeListing> listed = new HashMap<>();
    private boolean listedOnce;

    NodeTable(Depots depots) {
        this.depots = depots;
    }

    /** The node as it was last listed; null: it is not there. */
    NodeListing get(long node) {
        return listed.get(node);
    }

    /** Takes a list over, a whole one or what has changed. */
    Change apply(boolean whole, List<NodeListing> listings) {
        RoutingPolicy.ListKind full = listedOnce ? RoutingPolicy.ListKind.FULL : RoutingPolicy.ListKind.CACHED;
        Change change = new Change(
                whole ? full : RoutingPolicy.ListKind.DELTA, new ArrayList<>(listings.size()), new HashSet<>());
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
            if (l.state() != RoutingPolicy.State.READY || known != null && !known.sameProcess(l)) {
                change.invalidated.add(node);
            }
            if (l.state() == RoutingPolicy.State.GONE) {
                gone.add(Long.toString(node));
                retire(node);
            } else {
                if (known == null) {
                    added.add(describe(node, l));
                }
                if (l.state() == RoutingPolicy.State.DRAINING) {
                    draining.add(Long.toString(node));
                }
                listed.put(node, l);
                depots.list(node, l);
            }
            change.nodes.add(
                    new RoutingPolicy.Node(node, l.zone(), l.kind(), l.cell(), l.state(), l.size(), l.bootMs()));
        }
        log("nodes are listed", added);
        log("nodes drain", draining);
        log("nodes are gone", gone);
        return change;
    }

    /** A node that a whole list leaves out has gone. */
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
