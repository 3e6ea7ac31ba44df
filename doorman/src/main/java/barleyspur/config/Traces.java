package barleyspur.config;

import barleyspur.expect.Ask;
import barleyspur.expect.Box;
import barleyspur.expect.Checker;
import barleyspur.expect.Expectation;
import barleyspur.expect.Fault;
import barleyspur.expect.Scenario;
import barleyspur.expect.Site;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/** Reads and writes trace files: counterexamples together with the settings and expectation files they depend on. */
public final class Traces {

    private static final int VERSION = 1;

    /** A counterexample that was read from a trace file. */
    public record Trace(Scenario scenario, Expectation expectation) {}

    private Traces() {}

    /** Returns the content of a trace file. */
    public static String write(Checker.Counterexample c, List<String> files, Map<String, String> texts) {
        Scenario s = c.scenario();
        Site site = s.site();
        JSONObject json = new JSONObject();
        json.put("barleyspur_trace", VERSION)
                .put("expectation", c.expectation())
                .put("files", new JSONArray(files))
                .put("texts", new JSONObject(texts));
        json.put(
                "fleet",
                new JSONObject()
                        .put("name", site.name())
                        .put("zones", new JSONArray(site.zones()))
                        .put("kinds", new JSONArray(site.kinds()))
                        .put("classes", new JSONArray(site.classes()))
                        .put("doormans", new JSONArray(site.doormanZones()))
                        .put("settings", new JSONObject(site.told())));
        JSONArray boxes = new JSONArray();
        for (Box b : site.boxes()) {
            boxes.put(new JSONArray(List.of(b.uid(), b.node(), b.zone(), b.kind(), b.cell(), b.size())));
        }
        JSONArray faults = new JSONArray();
        for (Fault f : s.faults()) {
            faults.put(new JSONArray(List.of(f.kind().word(), f.node(), f.atMs(), f.toldMs(), f.forMs(), f.size())));
        }
        JSONArray asks = new JSONArray();
        for (Ask a : s.asks()) {
            asks.put(new JSONArray(List.of(
                    a.number(),
                    a.atMs(),
                    a.doorman(),
                    a.category(),
                    a.object(),
                    a.set(),
                    a.part(),
                    a.group(),
                    a.sizeKb(),
                    a.remainingMs(),
                    a.leavesMs())));
        }
        json.put("mean_work", new JSONArray(s.meanWork()))
                .put("boxes", boxes)
                .put("events", faults)
                .put("requests", asks)
                .put("seed", s.seed())
                .put("retries", s.retries())
                .put("marked", s.marked());
        return json.toString(1);
    }

    /** Parses the output of {@link #write}; {@code file} is the name for error messages. */
    public static Trace read(String file, String text) throws Hcl.Invalid {
        try {
            JSONObject json = new JSONObject(text);
            if (json.optInt("barleyspur_trace") != VERSION) {
                throw new Hcl.Invalid(
                        file, 1, "key barleyspur_trace is not " + VERSION + ": not a trace, or one of another version");
            }
            JSONObject fleet = json.getJSONObject("fleet");
            Map<String, String> told = new HashMap<>();
            fleet.getJSONObject("settings").toMap().forEach((k, v) -> told.put(k, String.valueOf(v)));
            List<Box> boxes = new ArrayList<>();
            for (Object o : json.getJSONArray("boxes")) {
                JSONArray b = (JSONArray) o;
                boxes.add(new Box(b.getString(0), b.getLong(1), b.getInt(2), b.getInt(3), b.getInt(4), b.getDouble(5)));
            }
            Site site = Site.of(
                    fleet.getString("name"),
                    told,
                    SettingsReader.read(told),
                    integers(fleet.getJSONArray("doormans")),
                    texts(fleet.getJSONArray("zones")),
                    texts(fleet.getJSONArray("kinds")),
                    texts(fleet.getJSONArray("classes")),
                    boxes);
            List<Fault> faults = new ArrayList<>();
            for (Object o : json.getJSONArray("events")) {
                JSONArray f = (JSONArray) o;
                faults.add(new Fault(
                        kind(f.getString(0)),
                        f.getLong(1),
                        f.getDouble(2),
                        f.getDouble(3),
                        f.getDouble(4),
                        f.getDouble(5)));
            }
            List<Ask> asks = new ArrayList<>();
            for (Object o : json.getJSONArray("requests")) {
                JSONArray a = (JSONArray) o;
                asks.add(new Ask(
                        a.getInt(0),
                        a.getDouble(1),
                        a.getInt(2),
                        a.getInt(3),
                        a.getLong(4),
                        a.getString(5),
                        a.getInt(6),
                        a.getInt(7),
                        a.getDouble(8),
                        a.getDouble(9),
                        a.getDouble(10)));
            }
            Scenario scenario = new Scenario(
                    site,
                    json.getLong("seed"),
                    json.getInt("retries"),
                    json.getBoolean("marked"),
                    json.getJSONArray("mean_work").toList().stream()
                            .map(w -> ((Number) w).doubleValue())
                            .toList(),
                    faults,
                    asks);
            return new Trace(scenario, expectation(file, json, site));
        } catch (JSONException | IllegalArgumentException | ClassCastException e) {
            throw new Hcl.Invalid(file, 1, "is not a valid trace: " + e.getMessage());
        }
    }

    private static Expectation expectation(String file, JSONObject json, Site site) throws Hcl.Invalid {
        JSONObject texts = json.getJSONObject("texts");
        ExpectationFiles.Read read = ExpectationFiles.read(
                texts(json.getJSONArray("files")),
                (from, name) -> {
                    if (!texts.has(name)) {
                        throw new Hcl.Invalid(file, 1, "key texts does not contain " + name);
                    }
                    return texts.getString(name);
                },
                site);
        String name = json.getString("expectation");
        return read.expectations().stream()
                .filter(e -> e.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new Hcl.Invalid(file, 1, "key expectation names " + name + ", which no file defines"));
    }

    private static Fault.Kind kind(String word) {
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (kind.word().equals(word)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("unknown event: " + word);
    }

    private static List<String> texts(JSONArray array) {
        return array.toList().stream().map(String::valueOf).toList();
    }

    private static List<Integer> integers(JSONArray array) {
        List<Integer> integers = new ArrayList<>();
        for (int i = 0; i < array.length(); i++) {
            integers.add(array.getInt(i));
        }
        return integers;
    }
}
