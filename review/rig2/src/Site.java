import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of a small deployment after kartli-swap-cache: one hub, one station or two with a doorman each, three
 * classes. All figures are those of its pages.
 */
final class Site {
    /** The zone of the hub, with the parents and the origin. */
    static final String HUB = "central";
    /** The zone of the station, with its caches and its doorman. */
    static final String STATION = "edge-1";
    /** Another station, whose caches this doorman may not use. */
    static final String OTHER_STATION = "edge-2";

    private Site() {}

    private static Map<String, Object> grade(
            String name, double promiseMs, double stretch, double hardMs, double value, double late, String repeat) {
        return Json.map(
                "name", name, "promiseMs", promiseMs, "aimStretch", stretch, "hardLimitMs", hardMs, "value", value,
                "lateWorth", late, "repeat", repeat, "keyScope", "all", "keyTtlMs", 5000.0, "stream", false);
    }

    private static List<Object> grades() {
        return List.of(
                grade("video-parts", 600, 2, 6000, 2, 0.15, "repeatable"),
                grade("small-files", 300, 2, 2500, 1, 0.2, "repeatable"),
                grade("swap-record", 700, 0, 3000, 3, 0, "once"));
    }

    static Map<String, Object> settings(int stations) {
        List<Object> zones = new ArrayList<>(List.of(HUB, STATION));
        List<Object> links = new ArrayList<>(List.of(0.0, 88671.0));
        List<Object> doormans = new ArrayList<>(List.of(0, 1));
        List<Object> hubs = new ArrayList<>(List.of(0, 0));
        if (stations > 1) {
            zones.add(OTHER_STATION);
            links.add(88671.0);
            doormans.add(1);
            hubs.add(0);
        }
        return Json.map(
                "areas", zones,
                "charges", Json.map(
                        "connection", 0.0, "crossZone", 0.01, "discovery", 0.0, "handshake", 0.0, "lateFail", 0.08,
                        "moves", 0.0, "origin", 0.05, "peer", 0.0, "probe", 0.0091, "waste", 0.026),
                "clientHabits", Json.map("marksRetry", false),
                "countedBy", "request",
                "discovery", "pushed",
                "familyInfo", Json.map(
                        "byteFee", 0.06, "clearedWithinMs", 6000.0, "goodForMs", List.of(0.0, 20000.0, 0.0),
                        "inParts", List.of(true, false, false), "joins", true, "lateral", "any", "masterKind", 3,
                        "midKind", 2, "obeyAfterMs", 1000.0, "originFallMs", 3000.0, "originLimitFactor", 0.0,
                        "paceKbPerS", 5800.0, "passOn", List.of(false, false, true), "passThroughOk", true,
                        "pipeKbPerS", links, "staleForMs", List.of(0.0, 0.0, 0.0), "tells", "hit",
                        "upperColdFrom", 0.068, "upperColdMs", 19000.0, "upperFallMultiple", 2.0,
                        "worthWhenOld", List.of(0.7, 0.7, 0.7), "zoneBalancers", doormans,
                        "zoneHub", hubs),
                "flavors", List.of("small-box", "large-box", "parent", "origin"),
                "goal", Json.map("whole", 0.55, "worstClass", 0.35, "worstTenant", 0.0, "worstWindow", 0.1),
                "grades", grades(),
                "groupSize", stations,
                "kindOfService", "edge",
                "limits", Json.map(
                        "cancel", true, "connIdleMs", 15000.0, "connectTimeoutMs", 400.0, "cpuUsPerRequest", 0.0,
                        "cpuUsPerS", 400000, "maxOpen", 20000, "maxRetryAfterMs", 1000.0, "mayDuplicate", true,
                        "mayProbe", true, "multiplex", 32, "peers", false, "retryAfter", true, "sendCap", 8),
                "myNumber", 0,
                "myZone", 1,
                "overShareWorth", 0.1,
                "report", Json.map("fields", List.of("load_share", "x1"), "how", "pull"),
                "resolutionMs", 2.0,
                "rules", Json.map(
                        "answerSlackMs", 8.0, "coldFrom", 0.24, "coldMs", 17000.0, "drainGraceMs", 2000.0,
                        "fallMs", 3000.0, "mustAskInMs", 10000.0, "tipMultiple", 3.0),
                "tenants", List.of(),
                "tier", 0,
                "tiers", List.of("station-cache"),
                "weights", "rough");
    }

    /** Returns the configuration file of a doorman. */
    static Map<String, Object> configuration(CommandChannel channel, int stations, int sockets) {
        return Json.map(
                "name", "d1", "listen", "127.0.0.1:1", "seed", "8c1f30d27a5be964",
                "limits", Json.map("cores", 1.0, "memory_mb", 192, "sockets", sockets),
                "channel", channel.address(), "flow_bytes_per_s", 310000, "link_bytes_per_s", 1240000,
                "known", channel.known(), "settings", settings(stations));
    }
}
