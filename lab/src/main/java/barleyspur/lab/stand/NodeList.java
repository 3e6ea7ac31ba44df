package barleyspur.lab.stand;

import java.net.InetSocketAddress;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** The node list of a station of fake boxes, in the form of a doorman's configuration and of the command channel. */
public final class NodeList {

    private final JSONArray targets = new JSONArray();

    /**
     * Describes one node that is in service, in the only zone.
     *
     * @param bootMs its start time as Unix time, 0 for a node that has been up for a long time
     */
    public static JSONObject describe(
            String uid,
            InetSocketAddress address,
            FakeBoxes.Kind kind,
            int podGroup,
            double capacityHint,
            double bootMs) {
        return new JSONObject()
                .put("uid", uid)
                .put("endpoint", address.getHostString() + ":" + address.getPort())
                .put("az", "central")
                .put("model", kind.name().toLowerCase(Locale.ROOT))
                .put("pod_group", podGroup)
                .put("state", "in_service")
                .put("capacity_hint", capacityHint)
                .put("boot_ms", bootMs);
    }

    /** Adds a node to the list. */
    public void add(JSONObject node) {
        targets.put(node);
    }

    /**
     * Returns the nodes as an event of the command channel.
     *
     * @param full whether these are all nodes, rather than only those that have changed
     */
    public JSONObject toEvent(int revision, boolean full) {
        return new JSONObject().put("rev", revision).put("all", full).put("targets", targets);
    }

    /** Returns the part of the configuration that a doorman knows at its start: a first event with the full list. */
    public JSONObject initialState() {
        JSONObject event = new JSONObject().put("cursor", 1).put("nodes", toEvent(1, true));
        return new JSONObject().put("cursor", 1).put("cmds", new JSONArray().put(event));
    }
}
