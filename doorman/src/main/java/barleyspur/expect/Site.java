package barleyspur.expect;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The fleet that scenarios are played in.
 *
 * @param name     the fleet's name in reports
 * @param told     the settings as they were read, by key: traces hold them
 * @param settings the settings of each doorman, by its number
 * @param zones    the stations' names
 * @param kinds    the models' names
 * @param classes  the classes' names
 * @param boxes    the boxes that run when a scenario begins
 */
public record Site(
        String name,
        Map<String, String> told,
        List<RoutingPolicy.Settings> settings,
        List<String> zones,
        List<String> kinds,
        List<String> classes,
        List<Box> boxes) {

    /** Boxes of a kind that a twin keeps of each station, or in all. */
    private static final int TWIN_CACHES = 3;

    private static final int TWIN_DISTRICTS = 2;
    private static final int TWIN_STATIONS = 2;
    private static final int TWIN_DOORMANS = 2;

    /** What a box is for, whatever its model. */
    public enum Role {
        CACHE("cache"),
        DISTRICT("district"),
        HEAD_OFFICE("head-office");

        private final String word;

        Role(String word) {
            this.word = word;
        }

        /** As expectations name it. */
        public String word() {
            return word;
        }
    }

    /**
     * A fleet with a doorman for each of {@code doormanZones}, which hear the same settings but for their own places.
     */
    public static Site of(
            String name,
            Map<String, String> told,
            RoutingPolicy.Settings base,
            List<Integer> doormanZones,
            List<String> zones,
            List<String> kinds,
            List<String> classes,
            List<Box> boxes) {
        List<Integer> perZone = new ArrayList<>();
        for (int zone = 0; zone < zones.size(); zone++) {
            int here = zone;
            perZone.add((int) doormanZones.stream().filter(z -> z == here).count());
        }
        List<RoutingPolicy.Settings> settings = new ArrayList<>();
        for (int me = 0; me < doormanZones.size(); me++) {
            settings.add(at(base, me, doormanZones.size(), doormanZones.get(me), perZone));
        }
        return new Site(name, told, List.copyOf(settings), zones, kinds, classes, List.copyOf(boxes));
    }

    private static RoutingPolicy.Settings at(
            RoutingPolicy.Settings s, int me, int directors, int zone, List<Integer> perZone) {
        return new RoutingPolicy.Settings(
                s.classes(),
                me,
                directors,
                zone,
                perZone,
                s.parentKind(),
                s.originKind(),
                s.weighBySize(),
                s.mustSubscribe(),
                s.mustSubscribeWithinMs(),
                s.tickMs(),
                s.answerSlackMs(),
                s.drainGraceMs(),
                s.coldCache(),
                s.coldParent(),
                s.overloadSpanMs(),
                s.purgeGraceMs(),
                s.purgeCompleteMs(),
                s.mayBypassCaches(),
                s.joinFills(),
                s.siblings(),
                s.notes(),
                s.paceKbPerMs(),
                s.reports(),
                s.reportFields(),
                s.maxAttempts(),
                s.mayDuplicate(),
                s.mayCancel(),
                s.mayProbe(),
                s.mayMessagePeers(),
                s.maxRetryAfterMs());
    }

    /** What all doormans' settings share. */
    public RoutingPolicy.Settings any() {
        return settings.get(0);
    }

    /** The station of each doorman. */
    public List<Integer> doormanZones() {
        return settings.stream().map(RoutingPolicy.Settings::zone).toList();
    }

    /** What a box is on this site. */
    public Role role(Box box) {
        return box.kind() == any().originKind()
                ? Role.HEAD_OFFICE
                : box.kind() == any().parentKind() ? Role.DISTRICT : Role.CACHE;
    }

    /** The same site with fewer boxes. */
    Site with(List<Box> fewer) {
        return new Site(name, told, settings, zones, kinds, classes, List.copyOf(fewer));
    }

    /**
     * The site cut down to what still shows each kind of thing: two stations of three caches and two doormans each,
     * two district caches and the head office. In it all orders of a few events can be played.
     */
    Site twin() {
        TreeSet<Integer> stations = new TreeSet<>();
        for (RoutingPolicy.Settings s : settings) {
            boolean caches = boxes.stream().anyMatch(b -> role(b) == Role.CACHE && b.zone() == s.zone());
            if (caches && stations.size() < TWIN_STATIONS) {
                stations.add(s.zone());
            }
        }
        List<Box> kept = new ArrayList<>();
        for (Box b : boxes) {
            long same = kept.stream()
                    .filter(k -> role(k) == role(b) && (role(b) != Role.CACHE || k.zone() == b.zone()))
                    .count();
            boolean fits =
                    switch (role(b)) {
                        case CACHE -> stations.contains(b.zone()) && same < TWIN_CACHES;
                        case DISTRICT -> same < TWIN_DISTRICTS;
                        case HEAD_OFFICE -> same < 1;
                    };
            if (fits) {
                kept.add(b);
            }
        }
        List<Integer> doormans = new ArrayList<>();
        for (int zone : doormanZones()) {
            boolean room = doormans.stream().filter(z -> z == zone).count() < TWIN_DOORMANS;
            if (stations.contains(zone) && room) {
                doormans.add(zone);
            }
        }
        return kept.size() == boxes.size() && doormans.size() == settings.size() || doormans.isEmpty()
                ? this
                : of(name + ", twin", told, any(), doormans, zones, kinds, classes, kept);
    }
}
