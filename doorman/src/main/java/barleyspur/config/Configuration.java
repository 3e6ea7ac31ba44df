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
 * All that one doorman is told: read, checked and defaulted here and nowhere else. {@code known} is the
 * command channel's own form, for the channel's parser to read. {@code mgmt}, the second address, is null where the
 * platform gives none; {@code scratch} is the folder that {@code $TMPDIR} names, which an upgrade's two processes
 * share.
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

    /** The names that sockets use for what the settings number. */
    public record Names(List<String> classes, List<String> zones, List<String> kinds) {}

    /** The node's own limits, none of which the decisions see. */
    public record Limits(int sockets, int memoryMb, int maxOpen, int streams, int connectTimeoutMs, int idleMs) {}

    /** A configuration that can't be used; the message names the key. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        /** A fault that {@code message} names by its key. */
        public Invalid(String message) {
            super(message);
        }
    }

    private static final int LEAST_SOCKETS = 64;
    private static final int LEAST_MEMORY_MB = 32;
    /** The most that a scored day gives. */
    private static final int MEMORY_MB = 192;

    private static final int HEX = 16;
    /** How errors name a key: of the file, or of its settings. */
    private static final Pattern NAMED = Pattern.compile("^(key|setting) ([^ ]+)");

    /** Reads the file that {@code RELAY_CONFIG} names; name and address may also come as variables. */
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
            throw new Invalid(file + ": not JSON, or cut short: " + e.getMessage());
        }
        try {
            return read(json, variables);
        } catch (Invalid e) {
            throw new Invalid(file + where(text, e.getMessage()) + ": " + e.getMessage());
        }
    }

    /**
     * {@code ":LINE"} where the message names a key that stands in {@code text}, as {@code "key K ..."} or
     * {@code "setting K ..."}; else nothing.
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

    /** A small one on loopback, that a rehearsal can do with. */
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
        JSONObject known = known(object(json, "known"));
        try {
            Map<String, String> flat = SettingsReader.flatten(settings);
            return new Configuration(
                    name,
                    address("listen", listen),
                    address("channel", json.optString("channel")),
                    mgmt.isBlank() ? null : address("mgmt", mgmt),
                    scratch,
                    seed(json),
                    known,
                    SettingsReader.read(flat),
                    names(settings),
                    limits(json, flat));
        } catch (IllegalArgumentException e) {
            throw new Invalid(e.getMessage());
        }
    }

    /** The address in {@code text}, as {@code 10.0.0.4:7001}; a literal, since there is no DNS. */
    public static InetSocketAddress address(String key, String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            if (host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // Said below, with the key.
        }
        throw new IllegalArgumentException("key " + key + " is not an address with a port: '" + text + "'");
    }

    /**
     * This one with what a running doorman takes from {@code next}: the command channel, the classes and the cap on
     * attempts.
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
     * The keys that differ and that a running doorman can't change: all but the channel, the classes and the cap on
     * attempts. Seed and known are new each time.
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

    /** A digest of the settings, by which operators see whether two doormans run by the same ones. */
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

    private static JSONObject known(JSONObject known) throws Invalid {
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

    private static long seed(JSONObject json) {
        try {
            return Long.parseUnsignedLong(json.optString("seed"), HEX);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("key seed is not a number in hex digits");
        }
    }

    private static Names names(JSONObject settings) {
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

    private static Limits limits(JSONObject json, Map<String, String> flat) {
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
            // Said below, with the key.
        }
        throw new IllegalArgumentException("setting " + key + " is not a number from 1 on: '" + text + "'");
    }
}
