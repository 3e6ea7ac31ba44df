package barleyspur.lab.stand;

import java.net.InetSocketAddress;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** The nodes of a station of stand-ins, as a doorman's configuration and the command channel list them. */
public final class NodeList {

    private final JSONArray targets = new JSONArray();

    /** One node in service, in the only zone. {@code bootMs}: when it started, 0 for long ago. */
    public static JSONObject node(
            String uid,
            InetSocketAddress address,
            StandBoxes.Kind kind,
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

    /** Adds a node. */
    public void add(JSONObject node) {
        targets.put(node);
    }

    /** The nodes as one event of the command channel tells them: all there are, or those that have changed. */
    public JSONObject event(int revision, boolean whole) {
        return new JSONObject().put("rev", revision).put("all", whole).put("targets", targets);
    }

    /** What a doorman knows at its start: the command channel's first event, which is the whole list. */
    public JSONObject known() {
        JSONObject first = new JSONObject().put("cursor", 1).put("nodes", event(1, true));
        return new JSONObject().put("cursor", 1).put("cmds", new JSONArray().put(first));
    }
}
