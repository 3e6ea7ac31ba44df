package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import barleyspur.doorman.NodeListing;
import barleyspur.expect.Box;
import barleyspur.expect.Site;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/** Creates the fleets that expectations are checked on, from a doorman's configuration or from a definition. */
public final class Sites {

    private static final String OWN = "configuration";
    private static final double SIZE = 8;

    private Sites() {}

    /**
     * Reads the fleet of a configuration in the format of {@code RELAY_CONFIG}: its settings, and the boxes that are in
     * service after all commands in {@code known}, with the node numbers that doormans assign to them. Without such
     * boxes it creates a small default fleet with the stations and doormans of the settings.
     */
    public static Site read(JSONObject json) throws Configuration.Invalid {
        Configuration configuration = Configuration.read(json, Map.of());
        Map<String, String> told = SettingsReader.flatten(json.getJSONObject("settings"));
        RoutingPolicy.Settings base = configuration.settings();
        Configuration.Names names = configuration.names();
        List<Integer> doormans = new ArrayList<>();
        for (int zone = 0; zone < names.zones().size(); zone++) {
            int here = zone < base.doormansPerZone().size()
                    ? base.doormansPerZone().get(zone)
                    : 0;
            for (int i = 0; i < here; i++) {
                doormans.add(zone);
            }
        }
        if (doormans.isEmpty()) {
            doormans.add(base.zone());
        }
        List<Box> boxes = known(configuration.known(), names);
        if (boxes.isEmpty()) {
            boxes = madeUp(base, names, new HashSet<>(doormans));
        }
        return Site.of(OWN, told, base, doormans, names.zones(), names.kinds(), names.classes(), boxes);
    }

    private static List<Box> known(JSONObject known, Configuration.Names names) throws Configuration.Invalid {
        Map<String, Box> boxes = new LinkedHashMap<>();
        JSONArray cmds = known.getJSONArray("cmds");
        for (int i = 0; i < cmds.length(); i++) {
            JSONObject nodes = cmds.getJSONObject(i).optJSONObject("nodes");
            JSONArray targets = nodes == null ? new JSONArray() : nodes.optJSONArray("targets", new JSONArray());
            for (int k = 0; k < targets.length(); k++) {
                String at = "key known.cmds." + i + ".nodes.targets." + k;
                try {
                    JSONObject t = targets.getJSONObject(k);
                    String uid = t.getString("uid");
                    boxes.remove(uid);
                    if (t.getString("state").equals("in_service")) {
                        double size = t.optDouble("capacity_hint", 0);
                        boxes.put(
                                uid,
                                new Box(
                                        uid,
                                        NodeListing.numberOf(uid),
                                        place(at + ".az", names.zones(), t.getString("az")),
                                        place(at + ".model", names.kinds(), t.getString("model")),
                                        t.optInt("pod_group"),
                                        size > 0 ? size : SIZE));
                    }
                } catch (JSONException e) {
                    throw new Configuration.Invalid(at + ": " + e.getMessage());
                }
            }
        }
        return new ArrayList<>(boxes.values());
    }

    private static int place(String key, List<String> names, String name) throws Configuration.Invalid {
        int place = names.indexOf(name);
        if (place < 0) {
            throw new Configuration.Invalid(key + " names " + name + ", which is unknown" + Hcl.near(name, names));
        }
        return place;
    }

    private static List<Box> madeUp(RoutingPolicy.Settings s, Configuration.Names names, Set<Integer> stations) {
        List<Box> boxes = new ArrayList<>();
        long node = 1;
        int cacheKind = 0;
        while (cacheKind == s.parentKind() || cacheKind == s.originKind()) {
            cacheKind++;
        }
        for (int zone : stations) {
            for (int i = 1; i <= 3; i++) {
                boxes.add(new Box("cache-" + names.zones().get(zone) + "-" + i, node++, zone, cacheKind, 0, SIZE));
            }
        }
        for (int i = 1; s.parentKind() >= 0 && i <= 2; i++) {
            boxes.add(new Box("district-" + i, node++, 0, s.parentKind(), 0, 3 * SIZE * stations.size()));
        }
        boxes.add(new Box("head-office-1", node, 0, s.originKind(), 0, 12 * SIZE * stations.size()));
        return boxes;
    }

    /** Creates a fleet of the given zones, doormans and boxes with the settings of another fleet. */
    static Site described(
            String name,
            Site like,
            List<String> zones,
            List<Integer> doormanZones,
            List<ExpectationFiles.Box> described) {
        List<Box> boxes = new ArrayList<>();
        for (ExpectationFiles.Box b : described) {
            boxes.add(new Box(b.uid(), boxes.size() + 1L, b.zone(), b.kind(), 0, b.size()));
        }
        return Site.of(name, like.told(), like.any(), doormanZones, zones, like.kinds(), like.classes(), boxes);
    }
}
