package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import barleyspur.doorman.NodeListing;
import barleyspur.expect.Box;
import barleyspur.expect.Deployment;
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
public final class Deployments {

    private static final String CONFIGURATION_NAME = "configuration";
    private static final double DEFAULT_BOX_SIZE = 8;

    private Deployments() {}

    /**
     * Reads the fleet of a configuration in the format of {@code RELAY_CONFIG}: its settings, and the boxes that are in
     * service after all commands in {@code known}, with the node numbers that doormans assign to them. Without such
     * boxes it creates a small default fleet with the stations and doormans of the settings.
     */
    public static Deployment read(JSONObject json) throws Configuration.InvalidConfigurationException {
        Configuration configuration = Configuration.read(json, Map.of());
        Map<String, String> flatSettings = SettingsReader.flatten(json.getJSONObject("settings"));
        RoutingPolicy.Settings base = configuration.settings();
        Configuration.Names names = configuration.names();
        List<Integer> doormanZones = new ArrayList<>();
        for (int zone = 0; zone < names.zones().size(); zone++) {
            int doormanCount = zone < base.doormansPerZone().size()
                    ? base.doormansPerZone().get(zone)
                    : 0;
            for (int i = 0; i < doormanCount; i++) {
                doormanZones.add(zone);
            }
        }
        if (doormanZones.isEmpty()) {
            doormanZones.add(base.zone());
        }
        List<Box> boxes = boxesInService(configuration.initialCommands(), names);
        if (boxes.isEmpty()) {
            boxes = defaultBoxes(base, names, new HashSet<>(doormanZones));
        }
        return Deployment.of(
                CONFIGURATION_NAME,
                flatSettings,
                base,
                doormanZones,
                names.zones(),
                names.kinds(),
                names.classes(),
                boxes);
    }

    private static List<Box> boxesInService(JSONObject initialCommands, Configuration.Names names)
            throws Configuration.InvalidConfigurationException {
        Map<String, Box> boxes = new LinkedHashMap<>();
        JSONArray cmds = initialCommands.getJSONArray("cmds");
        for (int i = 0; i < cmds.length(); i++) {
            JSONObject nodes = cmds.getJSONObject(i).optJSONObject("nodes");
            JSONArray targets = nodes == null ? new JSONArray() : nodes.optJSONArray("targets", new JSONArray());
            for (int k = 0; k < targets.length(); k++) {
                String key = "key known.cmds." + i + ".nodes.targets." + k;
                try {
                    JSONObject target = targets.getJSONObject(k);
                    String uid = target.getString("uid");
                    boxes.remove(uid);
                    if (target.getString("state").equals("in_service")) {
                        double size = target.optDouble("capacity_hint", 0);
                        boxes.put(
                                uid,
                                new Box(
                                        uid,
                                        NodeListing.numberOf(uid),
                                        indexOf(key + ".az", names.zones(), target.getString("az")),
                                        indexOf(key + ".model", names.kinds(), target.getString("model")),
                                        target.optInt("pod_group"),
                                        size > 0 ? size : DEFAULT_BOX_SIZE));
                    }
                } catch (JSONException e) {
                    throw new Configuration.InvalidConfigurationException(key + ": " + e.getMessage());
                }
            }
        }
        return new ArrayList<>(boxes.values());
    }

    private static int indexOf(String key, List<String> names, String name)
            throws Configuration.InvalidConfigurationException {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new Configuration.InvalidConfigurationException(
                    key + " names " + name + ", which is unknown" + Hcl.suggestion(name, names));
        }
        return index;
    }

    private static List<Box> defaultBoxes(
            RoutingPolicy.Settings settings, Configuration.Names names, Set<Integer> stationZones) {
        List<Box> boxes = new ArrayList<>();
        long node = 1;
        int cacheKind = 0;
        while (cacheKind == settings.parentKind() || cacheKind == settings.originKind()) {
            cacheKind++;
        }
        for (int zone : stationZones) {
            for (int i = 1; i <= 3; i++) {
                boxes.add(new Box(
                        "cache-" + names.zones().get(zone) + "-" + i, node++, zone, cacheKind, 0, DEFAULT_BOX_SIZE));
            }
        }
        for (int i = 1; settings.parentKind() >= 0 && i <= 2; i++) {
            boxes.add(new Box(
                    "district-" + i, node++, 0, settings.parentKind(), 0, 3 * DEFAULT_BOX_SIZE * stationZones.size()));
        }
        boxes.add(new Box(
                "head-office-1", node, 0, settings.originKind(), 0, 12 * DEFAULT_BOX_SIZE * stationZones.size()));
        return boxes;
    }

    /** Creates a fleet of the given zones, doormans and boxes with the settings of another fleet. */
    static Deployment withSettingsOf(
            String name,
            Deployment template,
            List<String> zones,
            List<Integer> doormanZones,
            List<ExpectationFiles.BoxDefinition> boxDefinitions) {
        List<Box> boxes = new ArrayList<>();
        for (ExpectationFiles.BoxDefinition definition : boxDefinitions) {
            boxes.add(new Box(
                    definition.uid(), boxes.size() + 1L, definition.zone(), definition.kind(), 0, definition.size()));
        }
        return Deployment.of(
                name,
                template.rawSettings(),
                template.sharedSettings(),
                doormanZones,
                zones,
                template.modelNames(),
                template.classNames(),
                boxes);
    }
}
