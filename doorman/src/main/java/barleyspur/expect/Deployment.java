package barleyspur.expect;

import barleyspur.decision.Director;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The fleet that scenarios are played in.
 *
 * @param name     the fleet's name in reports
 * @param rawSettings     the settings as they were read, by key: traces hold them
 * @param doormanSettings the settings of each doorman, by its number
 * @param stationNames    the stations' names
 * @param modelNames    the models' names
 * @param classNames  the classes' names
 * @param boxes    the boxes that run when a scenario begins
 */
public record Deployment(
        String name,
        Map<String, String> rawSettings,
        List<Director.Settings> doormanSettings,
        List<String> stationNames,
        List<String> modelNames,
        List<String> classNames,
        List<Box> boxes) {

    /** Boxes of a kind that a twin keeps of each station, or in all. */
    private static final int REDUCED_CACHES_PER_STATION = 3;

    private static final int REDUCED_DISTRICTS = 2;
    private static final int REDUCED_STATIONS = 2;
    private static final int REDUCED_DOORMANS_PER_STATION = 2;

    /** What a box is for, whatever its model. */
    public enum Role {
        CACHE("cache"),
        DISTRICT("district"),
        HEAD_OFFICE("head-office");

        private final String labelText;

        Role(String word) {
            this.labelText = word;
        }

        /** As expectations name it. */
        public String label() {
            return labelText;
        }
    }

    /**
     * A fleet with a doorman for each of {@code doormanZones}, which hear the same settings but for their own places.
     */
    public static Deployment of(
            String name,
            Map<String, String> rawSettings,
            Director.Settings base,
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
        List<Director.Settings> doormanSettings = new ArrayList<>();
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

    private static Director.Settings settingsFor(
            Director.Settings base, int doormanIndex, int doormanCount, int zone, List<Integer> doormansPerZone) {
        return new Director.Settings(
                base.classes(),
                doormanIndex,
                doormanCount,
                zone,
                doormansPerZone,
                base.parentKind(),
                base.originKind(),
                base.sizesCount(),
                base.mustAsk(),
                base.mustAskMs(),
                base.tickMs(),
                base.answerSlackMs(),
                base.drainGraceMs(),
                base.coldCache(),
                base.coldParent(),
                base.fallSpanMs(),
                base.purgeGraceMs(),
                base.purgeDoneMs(),
                base.direct(),
                base.joins(),
                base.siblings(),
                base.notes(),
                base.paceKbPerMs(),
                base.reports(),
                base.reportFields(),
                base.maxAttempts(),
                base.mayDuplicate(),
                base.mayCancel(),
                base.mayProbe(),
                base.mayTell(),
                base.maxRetryAfterMs());
    }

    /** What all doormans' settings share. */
    public Director.Settings sharedSettings() {
        return doormanSettings.get(0);
    }

    /** The station of each doorman. */
    public List<Integer> doormanZones() {
        return doormanSettings.stream().map(Director.Settings::zone).toList();
    }

    /** What a box is on this site. */
    public Role roleOf(Box box) {
        return box.modelIndex() == sharedSettings().originKind()
                ? Role.HEAD_OFFICE
                : box.modelIndex() == sharedSettings().parentKind() ? Role.DISTRICT : Role.CACHE;
    }

    /** The same site with fewer boxes. */
    Deployment withBoxes(List<Box> remaining) {
        return new Deployment(
                name, rawSettings, doormanSettings, stationNames, modelNames, classNames, List.copyOf(remaining));
    }

    /**
     * The site cut down to what still shows each kind of thing: two stations of three caches and two doormans each,
     * two district caches and the head office. In it all orders of a few events can be played.
     */
    Deployment reduced() {
        TreeSet<Integer> stations = new TreeSet<>();
        for (Director.Settings settings : doormanSettings) {
            boolean hasCaches =
                    boxes.stream().anyMatch(box -> roleOf(box) == Role.CACHE && box.zoneIndex() == settings.zone());
            if (hasCaches && stations.size() < REDUCED_STATIONS) {
                stations.add(settings.zone());
            }
        }
        List<Box> kept = new ArrayList<>();
        for (Box box : boxes) {
            long keptOfSameKind = kept.stream()
                    .filter(k ->
                            roleOf(k) == roleOf(box) && (roleOf(box) != Role.CACHE || k.zoneIndex() == box.zoneIndex()))
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
