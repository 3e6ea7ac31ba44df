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
 * @param channelAddress address of the command channel
 * @param managementAddress address for management requests, or null if the platform gives none
 * @param tempDirectory the directory {@code $TMPDIR}, which the old and the new process share during an upgrade
 * @param initialCommands the commands up to the start, in the format of the command channel, whose reader parses them
 */
public record Configuration(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress channelAddress,
        InetSocketAddress managementAddress,
        Path tempDirectory,
        long seed,
        JSONObject initialCommands,
        RoutingPolicy.Settings settings,
        Names names,
        Limits limits) {

    /** The names that clients and nodes use on connections for the indexes in the settings. */
    public record Names(List<String> classes, List<String> zones, List<String> kinds) {}

    /**
     * Resource limits of the process, which the routing decisions don't use.
     *
     * @param maxStreamsPerConnection maximum number of concurrent attempts on one connection to a node
     * @param connectionIdleMs time after which an unused connection to a node is closed
     */
    public record Limits(
            int maxSockets,
            int memoryMb,
            int maxOpenRequests,
            int maxStreamsPerConnection,
            int connectTimeoutMs,
            int connectionIdleMs) {}

    /** Signals an invalid configuration; the message names the key. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception whose message names the key. */
        public InvalidConfigurationException(String message) {
            super(message);
        }
    }

    private static final int MIN_SOCKETS = 64;
    private static final int MIN_MEMORY_MB = 32;
    /** Default limit of the memory: the maximum that the platform provides. */
    private static final int DEFAULT_MEMORY_MB = 192;

    private static final int HEX_RADIX = 16;
    /** Start of an error message that names a key of the file, or a setting below its key {@code settings}. */
    private static final Pattern NAMED_KEY = Pattern.compile("^(key|setting) ([^ ]+)");

    /** Reads the file {@code $RELAY_CONFIG}; environment variables override the name and the addresses. */
    public static Configuration load(Map<String, String> variables) throws InvalidConfigurationException {
        String file = variables.get("RELAY_CONFIG");
        if (file == null || file.isBlank()) {
            throw new InvalidConfigurationException("variable RELAY_CONFIG is missing");
        }
        String text;
        try {
            text = Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "variable RELAY_CONFIG: " + file + " can't be read: " + e.getMessage());
        }
        JSONObject json;
        try {
            json = new JSONObject(text);
        } catch (JSONException e) {
            throw new InvalidConfigurationException(file + ": not JSON, or cut short: " + e.getMessage());
        }
        try {
            return read(json, variables);
        } catch (InvalidConfigurationException e) {
            throw new InvalidConfigurationException(file + lineSuffix(text, e.getMessage()) + ": " + e.getMessage());
        }
    }

    /**
     * Returns {@code ":LINE"} if the message begins with {@code "key K ..."} or {@code "setting K ..."} and
     * {@code text} contains that key; otherwise an empty string.
     */
    private static String lineSuffix(String text, String message) {
        Matcher matcher = NAMED_KEY.matcher(message);
        if (!matcher.find()) {
            return "";
        }
        String path = (matcher.group(1).equals("setting") ? "settings." : "") + matcher.group(2);
        int line = JsonLines.lineOf(text, path);
        return line > 0 ? ":" + line : "";
    }

    /** Returns a small configuration on loopback addresses for a rehearsal. */
    public static Configuration example() throws InvalidConfigurationException {
        try (InputStream in = Configuration.class.getResourceAsStream("/barleyspur/rehearsal.json")) {
            return read(new JSONObject(new JSONTokener(in)), Map.of());
        } catch (IOException e) {
            throw new InvalidConfigurationException("the example can't be read: " + e.getMessage());
        }
    }

    static Configuration read(JSONObject json, Map<String, String> variables) throws InvalidConfigurationException {
        String name = variables.getOrDefault("RELAY_NAME", json.optString("name"));
        if (name.isBlank()) {
            throw new InvalidConfigurationException("key name is missing");
        }
        String listen = variables.getOrDefault("RELAY_LISTEN", json.optString("listen"));
        String mgmt = variables.getOrDefault("RELAY_MGMT", json.optString("mgmt"));
        Path tempDirectory = Path.of(variables.getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
        JSONObject settings = requireObject(json, "settings");
        JSONObject initialCommands = validateKnown(requireObject(json, "known"));
        try {
            Map<String, String> flatSettings = SettingsReader.flatten(settings);
            return new Configuration(
                    name,
                    parseAddress("listen", listen),
                    parseAddress("channel", json.optString("channel")),
                    mgmt.isBlank() ? null : parseAddress("mgmt", mgmt),
                    tempDirectory,
                    parseSeed(json),
                    initialCommands,
                    SettingsReader.read(flatSettings),
                    readNames(settings),
                    readLimits(json, flatSettings));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }

    /** Parses an address such as {@code 10.0.0.4:7001}; only literal IP addresses, since there is no DNS. */
    public static InetSocketAddress parseAddress(String key, String text) {
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
    public Configuration withRuntimeChanges(Configuration next) {
        return new Configuration(
                name,
                listenAddress,
                next.channelAddress,
                managementAddress,
                tempDirectory,
                seed,
                initialCommands,
                settings.retuned(next.settings.classes(), next.settings.maxAttempts()),
                new Names(next.names.classes, names.zones, names.kinds),
                limits);
    }

    /**
     * Returns the keys that differ and need a restart: all but the command channel, the classes and the limit on
     * attempts. The keys seed and known are not compared because the platform changes them for each start.
     */
    public List<String> changesRequiringRestart(Configuration next) {
        Map<String, Boolean> unchanged = new LinkedHashMap<>();
        unchanged.put("name", name.equals(next.name));
        unchanged.put("listen", listenAddress.equals(next.listenAddress));
        unchanged.put("mgmt", Objects.equals(managementAddress, next.managementAddress));
        unchanged.put("limits", limits.equals(next.limits));
        unchanged.put(
                "settings",
                settings.retuned(List.of(), 0).equals(next.settings.retuned(List.of(), 0))
                        && names.zones.equals(next.names.zones)
                        && names.kinds.equals(next.names.kinds));
        return unchanged.entrySet().stream()
                .filter(e -> !e.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a digest of the settings without the number of the doorman, to compare the settings of two doormans. */
    public long settingsDigest() {
        return LongHashFunction.xx3()
                .hashChars(settings.retuned(settings.classes(), settings.maxAttempts())
                        .toString()
                        .replaceFirst("me=[0-9]+", "me"));
    }

    private static JSONObject requireObject(JSONObject json, String key) throws InvalidConfigurationException {
        JSONObject value = json.optJSONObject(key);
        if (value == null) {
            throw new InvalidConfigurationException("key " + key + " is missing or no object");
        }
        return value;
    }

    private static JSONObject validateKnown(JSONObject known) throws InvalidConfigurationException {
        if (known.optLong("cursor", -1) < 0) {
            throw new InvalidConfigurationException("key known.cursor is missing or no number from 0 on");
        }
        JSONArray cmds = known.optJSONArray("cmds");
        if (cmds == null) {
            throw new InvalidConfigurationException("key known.cmds is missing or no list");
        }
        for (int i = 0; i < cmds.length(); i++) {
            if (cmds.optJSONObject(i) == null) {
                throw new InvalidConfigurationException("key known.cmds." + i + " is no object");
            }
        }
        return known;
    }

    private static long parseSeed(JSONObject json) {
        try {
            return Long.parseUnsignedLong(json.optString("seed"), HEX_RADIX);
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
        return new Names(List.of(classes), nonEmptyStrings(settings, "areas"), nonEmptyStrings(settings, "flavors"));
    }

    private static List<String> nonEmptyStrings(JSONObject settings, String key) {
        Object value = settings.opt(key);
        if (value instanceof JSONArray array && !array.isEmpty()) {
            return array.toList().stream().map(String::valueOf).toList();
        }
        if (value instanceof String text && !text.isEmpty()) {
            return Arrays.asList(text.split(","));
        }
        throw new IllegalArgumentException("setting " + key + " is missing or empty");
    }

    private static Limits readLimits(JSONObject json, Map<String, String> flatSettings) {
        JSONObject limits = json.optJSONObject("limits");
        int sockets = limits == null ? 0 : limits.optInt("sockets");
        if (sockets < MIN_SOCKETS) {
            throw new IllegalArgumentException("key limits.sockets is missing or under " + MIN_SOCKETS);
        }
        int memoryMb = limits.optInt("memory_mb", DEFAULT_MEMORY_MB);
        if (memoryMb < MIN_MEMORY_MB) {
            throw new IllegalArgumentException("key limits.memory_mb is under " + MIN_MEMORY_MB);
        }
        return new Limits(
                sockets,
                memoryMb,
                positiveInteger(flatSettings, "limits.maxOpen", 20_000),
                positiveInteger(flatSettings, "limits.multiplex", 32),
                positiveInteger(flatSettings, "limits.connectTimeoutMs", 400),
                positiveInteger(flatSettings, "limits.connIdleMs", 15_000));
    }

    private static int positiveInteger(Map<String, String> flatSettings, String key, int defaultValue) {
        String text = flatSettings.get(key);
        if (text == null) {
            return defaultValue;
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
