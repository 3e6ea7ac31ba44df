package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The doormans and boxes in which scenarios are simulated.
 *
 * @param name            name in reports
 * @param rawSettings     the settings as read, by key; written to traces
 * @param doormanSettings the settings of each doorman, by its index
 * @param stationNames    names of the stations, by zone index
 * @param modelNames      names of the box models, by model index
 * @param classNames      names of the request classes, by class index
 * @param boxes           boxes that run when a scenario starts
 */
public record Deployment(
        String name,
        Map<String, String> rawSettings,
        List<RoutingPolicy.Settings> doormanSettings,
        List<String> stationNames,
        List<String> modelNames,
        List<String> classNames,
        List<Box> boxes) {

    /** Limits of a reduced deployment; caches and doormans are limited by station. */
    private static final int REDUCED_CACHES_PER_STATION = 3;

    private static final int REDUCED_DISTRICTS = 2;
    private static final int REDUCED_STATIONS = 2;
    private static final int REDUCED_DOORMANS_PER_STATION = 2;

    /** The role of a box, independent of its model. */
    public enum Role {
        CACHE("cache"),
        DISTRICT("district"),
        HEAD_OFFICE("head-office");

        private final String labelText;

        Role(String labelText) {
            this.labelText = labelText;
        }

        /** The name in expectation files. */
        public String label() {
            return labelText;
        }
    }

    /**
     * A deployment with one doorman in each of {@code doormanZones}; their settings differ only in their own index and
     * zone.
     */
    public static Deployment of(
            String name,
            Map<String, String> rawSettings,
            RoutingPolicy.Settings base,
            List<Integer> doormanZones,
            List<String> stationNames,
            List<String> modelNames,
            List<String> classNames,
            List<Box> boxes) {
        List<Integer> doormansPerZone = new ArrayList<>();
        for (int zone = 0; zone < stationNames.size(); zone++) {
            int zoneIndex = zone;
            doormansPerZone.add(
                    (int) doormanZones.stream().filter(z -> z == zoneIndex).count());
        }
        List<RoutingPolicy.Settings> doormanSettings = new ArrayList<>();
        for (int doormanIndex = 0; doormanIndex < doormanZones.size(); doormanIndex++) {
            doormanSettings.add(settingsFor(
                    base, doormanIndex, doormanZones.size(), doormanZones.get(doormanIndex), doormansPerZone));
        }
        return new Deployment(
                name,
                rawSettings,
                List.copyOf(doormanSettings),
                stationNames,
                modelNames,
                classNames,
                List.copyOf(boxes));
    }

    private static RoutingPolicy.Settings settingsFor(
            RoutingPolicy.Settings base, int doormanIndex, int doormanCount, int zone, List<Integer> doormansPerZone) {
        return new RoutingPolicy.Settings(
                base.classes(),
                doormanIndex,
                doormanCount,
                zone,
                doormansPerZone,
                base.parentKind(),
                base.originKind(),
                base.weighBySize(),
                base.mustSubscribe(),
                base.mustSubscribeWithinMs(),
                base.tickMs(),
                base.answerSlackMs(),
                base.drainGraceMs(),
                base.coldCache(),
                base.coldParent(),
                base.overloadSpanMs(),
                base.purgeGraceMs(),
                base.purgeCompleteMs(),
                base.mayBypassCaches(),
                base.joinFills(),
                base.siblings(),
                base.notes(),
                base.paceKbPerMs(),
                base.reports(),
                base.reportFields(),
                base.maxAttempts(),
                base.mayDuplicate(),
                base.mayCancel(),
                base.mayProbe(),
                base.mayMessagePeers(),
                base.maxRetryAfterMs());
    }

    /** Settings to read values from that are the same at all doormans. */
    public RoutingPolicy.Settings sharedSettings() {
        return doormanSettings.get(0);
    }

    /** The zone index of each doorman. */
    public List<Integer> doormanZones() {
        return doormanSettings.stream().map(RoutingPolicy.Settings::zone).toList();
    }

    /** The role of a box in this deployment. */
    public Role roleOf(Box box) {
        return box.modelIndex() == sharedSettings().originKind()
                ? Role.HEAD_OFFICE
                : box.modelIndex() == sharedSettings().parentKind() ? Role.DISTRICT : Role.CACHE;
    }

    /** The same deployment with fewer boxes. */
    Deployment withBoxes(List<Box> remaining) {
        return new Deployment(
                name, rawSettings, doormanSettings, stationNames, modelNames, classNames, List.copyOf(remaining));
    }

    /**
     * A smaller deployment that still contains each kind of component: two stations of three caches and two doormans
     * each, two district caches and the head office. It is small enough to simulate all sequences of a few faults.
     */
    Deployment reduced() {
        TreeSet<Integer> stations = new TreeSet<>();
        for (RoutingPolicy.Settings settings : doormanSettings) {
            boolean hasCaches =
                    boxes.stream().anyMatch(box -> roleOf(box) == Role.CACHE && box.zoneIndex() == settings.zone());
            if (hasCaches && stations.size() < REDUCED_STATIONS) {
                stations.add(settings.zone());
            }
        }
        List<Box> kept = new ArrayList<>();
        for (Box box : boxes) {
            long keptOfSameKind = kept.stream()
                    .filter(other -> roleOf(other) == roleOf(box)
                            && (roleOf(box) != Role.CACHE || other.zoneIndex() == box.zoneIndex()))
                    .count();
            boolean fits =
                    switch (roleOf(box)) {
                        case CACHE -> stations.contains(box.zoneIndex()) && keptOfSameKind < REDUCED_CACHES_PER_STATION;
                        case DISTRICT -> keptOfSameKind < REDUCED_DISTRICTS;
                        case HEAD_OFFICE -> keptOfSameKind < 1;
                    };
            if (fits) {
                kept.add(box);
            }
        }
        List<Integer> keptDoormanZones = new ArrayList<>();
        for (int zone : doormanZones()) {
            boolean hasRoom = keptDoormanZones.stream().filter(z -> z == zone).count() < REDUCED_DOORMANS_PER_STATION;
            if (stations.contains(zone) && hasRoom) {
                keptDoormanZones.add(zone);
            }
        }
        return kept.size() == boxes.size() && keptDoormanZones.size() == doormanSettings.size()
                        || keptDoormanZones.isEmpty()
                ? this
                : of(
                        name + ", twin",
                        rawSettings,
                        sharedSettings(),
                        keptDoormanZones,
                        stationNames,
                        modelNames,
                        classNames,
                        kept);
    }
}
