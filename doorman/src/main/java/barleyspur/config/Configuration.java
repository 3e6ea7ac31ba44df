package barleyspur.config;

import barleyspur.decision.RoutingPolicy;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.openhft.hashing.LongHashFunction;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONTokener;

/**
 * The platform's configuration of one doorman. Only this class parses and validates it and applies defaults.
 *
 * @param channel address of the command channel
 * @param mgmt    address for management requests, or null if the platform gives none
 * @param scratch the directory {@code $TMPDIR}, which the old and the new process share during an upgrade
 * @param known   the commands up to the start, in the format of the command channel, whose reader parses them
 */
public record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress channel,
        InetSocketAddress mgmt,
        Path scratch,
        long seed,
        JSONObject known,
        RoutingPolicy.Settings settings,
        Names names,
        Limits limits) {

    /** The names that clients and nodes use on connections for the indexes in the settings. */
    public record Names(List<String> classes, List<String> zones, List<String> kinds) {}

    /**
     * Resource limits of the process, which the routing decisions don't use.
     *
     * @param streams maximum number of concurrent attempts on one connection to a node
     * @param idleMs  time after which an unused connection to a node is closed
     */
    public record Limits(int sockets, int memoryMb, int maxOpen, int streams, int connectTimeoutMs, int idleMs) {}

    /** Signals an invalid configuration; the message names the key. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception whose message names the key. */
        public Invalid(String message) {
            super(message);
        }
    }

    private static final int LEAST_SOCKETS = 64;
    private static final int LEAST_MEMORY_MB = 32;
    /** Default limit of the memory: the maximum that the platform provides. */
    private static final int MEMORY_MB = 192;

    private static final int HEX = 16;
    /** Start of an error message that names a key of the file, or a setting below its key {@code settings}. */
    private static final Pattern NAMED = Pattern.compile("^(key|setting) ([^ ]+)");

    /** Reads the file {@code $RELAY_CONFIG}; environment variables override the name and the addresses. */
    public static Configuration load(Map<String, String> variables) throws Invalid {
        String file = variables.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new Invalid("variable RELAY_CONFIG is missing");
        }
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new Invalid("variable RELAY_CONFIG: " + file + " can't be read: " + e.getMessage());
        }
        JSONObject json;
        try {
            json = new JSONObject(text);
        } catch (JSONException e) {
            throw new Invalid(file + ": not valid JSON, or truncated: " + e.getMessage());
        }
        try {
            return read(json, variables);
        } catch (Invalid e) {
            throw new Invalid(file + where(text, e.getMessage()) + ": " + e.getMessage());
        }
    }

    /**
     * Returns {@code ":LINE"} if the message begins with {@code "key K ..."} or {@code "setting K ..."} and
     * {@code text} contains that key; otherwise an empty string.
     */
    private static String where(String text, String message) {
        Matcher named = NAMED.matcher(message);
        if (!named.find()) {
            return "";
        }
        String path = (named.group(1).equals("setting") ? "settings." : "") + named.group(2);
        int line = JsonLines.lineOf(text, path);
        return line > 0 ? ":" + line : "";
    }

    /** Returns a small configuration on loopback addresses for a rehearsal. */
    public static Configuration example() throws Invalid {
        try (InputStream in = Configuration.class.getResourceAsStream("/barleyspur/rehearsal.json")) {
            return read(new JSONObject(new JSONTokener(in)), Map.of());
        } catch (IOException e) {
            throw new Invalid("the example can't be read: " + e.getMessage());
        }
    }

    static Configuration read(JSONObject json, Map<String, String> variables) throws Invalid {
        String name = variables.getOrDefault("RELAY_NAME", json.optString("name"));
        if (name.isBlank()) {
            throw new Invalid("key name is missing");
        }
        String listen = variables.getOrDefault("RELAY_LISTEN", json.optString("listen"));
        String mgmt = variables.getOrDefault("RELAY_MGMT", json.optString("mgmt"));
        Path scratch = Path.of(variables.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
        JSONObject settings = object(json, "settings");
        JSONObject known = validateKnown(object(json, "known"));
        try {
            Map<String, String> flat = SettingsReader.flatten(settings);
            return new Configuration(
                    name,
                    address("listen", listen),
                    address("channel", json.optString("channel")),
                    mgmt.isBlank() ? null : address("mgmt", mgmt),
                    scratch,
                    parseSeed(json),
                    known,
                    SettingsReader.read(flat),
                    readNames(settings),
                    readLimits(json, flat));
        } catch (IllegalArgumentException e) {
            throw new Invalid(e.getMessage());
        }
    }

    /** Parses an address such as {@code 10.0.0.4:7001}; only literal IP addresses, since there is no DNS. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // Reported below with the key.
        }
        throw new IllegalArgumentException("key " + key + " is not an address with a port: '" + text + "'");
    }

    /**
     * Returns a copy with those values of {@code next} that can change at run time: the command channel, the classes
     * and the limit on attempts.
     */
    public Configuration retuned(Configuration next) {
        return new Configuration(
                name,
                listen,
                next.channel,
                mgmt,
                scratch,
                seed,
                known,
                settings.retuned(next.settings.classes(), next.settings.maxAttempts()),
                new Names(next.names.classes, names.zones, names.kinds),
                limits);
    }

    /**
     * Returns the keys that differ and need a restart: all but the command channel, the classes and the limit on
     * attempts. The keys seed and known are not compared because the platform changes them for each start.
     */
    public List<String> fixedChanges(Configuration next) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("name", name.equals(next.name));
        same.put("listen", listen.equals(next.listen));
        same.put("mgmt", Objects.equals(mgmt, next.mgmt));
        same.put("limits", limits.equals(next.limits));
        same.put(
                "settings",
                settings.retuned(List.of(), 0).equals(next.settings.retuned(List.of(), 0))
                        && names.zones.equals(next.names.zones)
                        && names.kinds.equals(next.names.kinds));
        return same.entrySet().stream()
                .filter(e -> !e.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a digest of the settings without the number of the doorman, to compare the settings of two doormans. */
    public long digest() {
        return LongHashFunction.xx3()
                .hashChars(settings.retuned(settings.classes(), settings.maxAttempts())
                        .toString()
                        .replaceFirst("me=[0-9]+", "me"));
    }

    private static JSONObject object(JSONObject json, String key) throws Invalid {
        JSONObject value = json.optJSONObject(key);
        if (value == null) {
            throw new Invalid("key " + key + " is missing or no object");
        }
        return value;
    }

    private static JSONObject validateKnown(JSONObject known) throws Invalid {
        if (known.optLong("cursor", -1) < 0) {
            throw new Invalid("key known.cursor is missing or no number from 0 on");
        }
        JSONArray cmds = known.optJSONArray("cmds");
        if (cmds == null) {
            throw new Invalid("key known.cmds is missing or no list");
        }
        for (int i = 0; i < cmds.length(); i++) {
            if (cmds.optJSONObject(i) == null) {
                throw new Invalid("key known.cmds." + i + " is no object");
            }
        }
        return known;
    }

    private static long parseSeed(JSONObject json) {
        try {
            return Long.parseUnsignedLong(json.optString("seed"), HEX);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("key seed is not a number in hex digits");
        }
    }

    private static Names readNames(JSONObject settings) {
        JSONArray grades = settings.optJSONArray("grades");
        if (grades == null) {
            throw new IllegalArgumentException("setting grades is missing or no list");
        }
        String[] classes = new String[grades.length()];
        for (int i = 0; i < classes.length; i++) {
            JSONObject grade = grades.optJSONObject(i);
            classes[i] = grade == null ? "" : grade.optString("name");
            if (classes[i].isEmpty()) {
                throw new IllegalArgumentException("setting grades." + i + ".name is missing");
            }
            for (int j = 0; j < i; j++) {
                if (classes[j].equals(classes[i])) {
                    throw new IllegalArgumentException("setting grades." + i + ".name is the name of grades." + j);
                }
            }
        }
        return new Names(List.of(classes), words(settings, "areas"), words(settings, "flavors"));
    }

    private static List<String> words(JSONObject settings, String key) {
        Object value = settings.opt(key);
        if (value instanceof JSONArray array && !array.isEmpty()) {
            return array.toList().stream().map(String::valueOf).toList();
        }
        if (value instanceof String text && !text.isEmpty()) {
            return Arrays.asList(text.split(","));
        }
        throw new IllegalArgumentException("setting " + key + " is missing or empty");
    }

    private static Limits readLimits(JSONObject json, Map<String, String> flat) {
        JSONObject limits = json.optJSONObject("limits");
        int sockets = limits == null ? 0 : limits.optInt("sockets");
        if (sockets < LEAST_SOCKETS) {
            throw new IllegalArgumentException("key limits.sockets is missing or under " + LEAST_SOCKETS);
        }
        int memoryMb = limits.optInt("memory_mb", MEMORY_MB);
        if (memoryMb < LEAST_MEMORY_MB) {
            throw new IllegalArgumentException("key limits.memory_mb is under " + LEAST_MEMORY_MB);
        }
        return new Limits(
                sockets,
                memoryMb,
                positive(flat, "limits.maxOpen", 20_000),
                positive(flat, "limits.multiplex", 32),
                positive(flat, "limits.connectTimeoutMs", 400),
                positive(flat, "limits.connIdleMs", 15_000));
    }

    private static int positive(Map<String, String> flat, String key, int otherwise) {
        String text = flat.get(key);
        if (text == null) {
            return otherwise;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= 1 && value <= Integer.MAX_VALUE) {
                return (int) value;
            }
        } catch (NumberFormatException e) {
            // Reported below with the key.
        }
        throw new IllegalArgumentException("setting " + key + " is not a number from 1 on: '" + text + "'");
    }
}
