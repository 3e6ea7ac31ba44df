package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Reads {@link RoutingPolicy.Settings} from flat {@code path -> value} entries. Both the simulator's text and the
 * doorman's JSON are converted to that form, so that each key is validated and defaulted in one place. Unknown keys are
 * ignored; errors name the key that is missing or invalid.
 */
public final class SettingsReader {

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Reads the settings in {@code values}; throws {@link IllegalArgumentException} that names the invalid key. */
    public static RoutingPolicy.Settings read(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    /** Parses the simulator's format, one {@code path=value} per line. */
    public static Map<String, String> parseLines(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator),
                        line.substring(separator + 1).strip());
            }
        }
        return values;
    }

    /** Flattens the doorman's format, the same settings as nested JSON. */
    static Map<String, String> flatten(JSONObject json) {
        Map<String, String> values = new HashMap<>();
        flatten("", json, values);
        return values;
    }

    private static void flatten(String path, Object value, Map<String, String> into) {
        if (value instanceof JSONObject object) {
            for (String key : object.keySet()) {
                flatten(path.isEmpty() ? key : path + "." + key, object.get(key), into);
            }
        } else if (value instanceof JSONArray array) {
            boolean objects = !array.isEmpty() && array.get(0) instanceof JSONObject;
            if (objects) {
                into.put(path + ".count", Integer.toString(array.length()));
                for (int i = 0; i < array.length(); i++) {
                    flatten(path + "." + i, array.get(i), into);
                }
            } else {
                into.put(
                        path,
                        String.join(
                                ",",
                                array.toList().stream().map(String::valueOf).toList()));
            }
        } else {
            into.put(path, String.valueOf(value));
        }
    }

    private RoutingPolicy.Settings settings() {
        List<RoutingPolicy.RequestClass> classes = new ArrayList<>();
        int classCount = integer("grades.count");
        for (int i = 0; i < classCount; i++) {
            classes.add(requestClass(i));
        }
        return new RoutingPolicy.Settings(
                List.copyOf(classes),
                integer("myNumber"),
                integer("groupSize"),
                integer("myZone"),
                integers("familyInfo.zoneBalancers"),
                integer("familyInfo.midKind"),
                integer("familyInfo.masterKind"),
                hasStableSizes(),
                text("discovery", "pushed").equals("on_request"),
                number("rules.mustAskInMs", 0),
                number("resolutionMs"),
                number("rules.answerSlackMs"),
                number("rules.drainGraceMs"),
                new RoutingPolicy.ColdRule(
                        number("rules.coldFrom"), number("rules.coldMs"), number("rules.tipMultiple")),
                new RoutingPolicy.ColdRule(
                        number("familyInfo.upperColdFrom", 1),
                        number("familyInfo.upperColdMs", 0),
                        number("familyInfo.upperFallMultiple", number("rules.tipMultiple"))),
                number("rules.fallMs"),
                number("familyInfo.obeyAfterMs", 0),
                number("familyInfo.clearedWithinMs", 0),
                isEnabled("familyInfo.passThroughOk"),
                isEnabled("familyInfo.joins"),
                siblings(),
                notes(),
                number("familyInfo.paceKbPerS") / 1000,
                reports(),
                list("report.fields"),
                (int) positiveNumber("limits.sendCap"),
                isEnabled("limits.mayDuplicate"),
                isEnabled("limits.cancel"),
                isEnabled("limits.mayProbe"),
                isEnabled("limits.peers"),
                isEnabled("limits.retryAfter") ? number("limits.maxRetryAfterMs", 0) : 0);
    }

    /** Returns whether weights are a measure of size; weights of the other kinds vary with load. */
    private boolean hasStableSizes() {
        return List.of("nominal", "rough").contains(text("weights", "silent"));
    }

    private RoutingPolicy.RequestClass requestClass(int classIndex) {
        String prefix = "grades." + classIndex + ".";
        return new RoutingPolicy.RequestClass(
                effect(prefix),
                scope(prefix),
                number(prefix + "keyTtlMs", 0),
                positiveNumber(prefix + "promiseMs"),
                number(prefix + "aimStretch", 0),
                positiveNumber(prefix + "hardLimitMs"),
                number(prefix + "value", 1),
                number(prefix + "lateWorth", 0),
                isEnabled(prefix + "stream"),
                isTrue(item("familyInfo.inParts", classIndex)),
                isTrue(item("familyInfo.passOn", classIndex)),
                numberItem("familyInfo.goodForMs", classIndex),
                numberItem("familyInfo.staleForMs", classIndex),
                numberItem("familyInfo.worthWhenOld", classIndex));
    }

    private RoutingPolicy.Effect effect(String prefix) {
        return switch (text(prefix + "repeat", null)) {
            case "repeatable" -> RoutingPolicy.Effect.SAFE;
            case "by_key" -> RoutingPolicy.Effect.KEYED;
            case "once" -> RoutingPolicy.Effect.UNSAFE;
            default -> throw invalidSetting(prefix + "repeat", "repeatable, by_key or once");
        };
    }

    private RoutingPolicy.Scope scope(String prefix) {
        return switch (text(prefix + "keyScope", "all")) {
            case "all" -> RoutingPolicy.Scope.ALL;
            case "zone" -> RoutingPolicy.Scope.ZONE;
            default -> RoutingPolicy.Scope.CELL;
        };
    }

    private RoutingPolicy.Siblings siblings() {
        return switch (text("familyInfo.lateral", "silent")) {
            case "location" -> RoutingPolicy.Siblings.LOCATION;
            case "any" -> RoutingPolicy.Siblings.ANY;
            default -> RoutingPolicy.Siblings.NONE;
        };
    }

    private RoutingPolicy.Notes notes() {
        return switch (text("familyInfo.tells", "silent")) {
            case "all" -> RoutingPolicy.Notes.ALL;
            case "hit" -> RoutingPolicy.Notes.HIT;
            default -> RoutingPolicy.Notes.NONE;
        };
    }

    private RoutingPolicy.Reports reports() {
        return switch (text("report.how", "silent")) {
            case "piggyback" -> RoutingPolicy.Reports.WITH_ANSWERS;
            case "pull" -> RoutingPolicy.Reports.WITH_PROBES;
            default -> RoutingPolicy.Reports.NONE;
        };
    }

    private List<String> list(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<Integer> integers(String path) {
        return list(path).stream().map(v -> (int) parseNumber(path, v)).toList();
    }

    /** Returns item {@code i} of a list with one item per class; empty if the list is shorter or missing. */
    private String item(String path, int index) {
        List<String> items = list(path);
        return index < items.size() ? items.get(index) : "";
    }

    private double numberItem(String path, int index) {
        String value = item(path, index);
        return value.isEmpty() ? 0 : parseNumber(path + "." + index, value);
    }

    private String text(String path, String defaultValue) {
        String value = values.getOrDefault(path, defaultValue);
        if (value == null) {
            throw new IllegalArgumentException("setting " + path + " is missing");
        }
        return value;
    }

    private boolean isEnabled(String path) {
        return isTrue(values.getOrDefault(path, ""));
    }

    private static boolean isTrue(String value) {
        return value.equals("true") || value.equals("1");
    }

    private int integer(String path) {
        return (int) number(path);
    }

    private double number(String path) {
        return parseNumber(path, text(path, null));
    }

    /**
     * Returns a number that must be greater than 0. A deadline, a target latency or a limit on attempts of 0 or less
     * would refuse every request, so such a file is rejected as a whole.
     */
    private double positiveNumber(String path) {
        double value = number(path);
        if (!(value > 0) || Double.isInfinite(value)) {
            throw invalidSetting(path, "a number above 0");
        }
        return value;
    }

    private double number(String path, double defaultValue) {
        return values.containsKey(path) ? number(path) : defaultValue;
    }

    private static double parseNumber(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalidSetting(path, "a number");
        }
    }

    private static IllegalArgumentException invalidSetting(String path, String expected) {
        return new IllegalArgumentException("setting " + path + " is not " + expected);
    }
}
