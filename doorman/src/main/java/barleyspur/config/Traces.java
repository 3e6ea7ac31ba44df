package barleyspur.config;

import barleyspur.expect.Box;
import barleyspur.expect.Checker;
import barleyspur.expect.ClientRequest;
import barleyspur.expect.Deployment;
import barleyspur.expect.Expectation;
import barleyspur.expect.Fault;
import barleyspur.expect.Scenario;
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
    public static String write(Checker.Counterexample counterexample, List<String> files, Map<String, String> texts) {
        Scenario scenario = counterexample.scenario();
        Deployment deployment = scenario.deployment();
        JSONObject json = new JSONObject();
        json.put("barleyspur_trace", VERSION)
                .put("expectation", counterexample.expectationName())
                .put("files", new JSONArray(files))
                .put("texts", new JSONObject(texts));
        json.put(
                "fleet",
                new JSONObject()
                        .put("name", deployment.name())
                        .put("zones", new JSONArray(deployment.stationNames()))
                        .put("kinds", new JSONArray(deployment.modelNames()))
                        .put("classes", new JSONArray(deployment.classNames()))
                        .put("doormans", new JSONArray(deployment.doormanZones()))
                        .put("settings", new JSONObject(deployment.rawSettings())));
        JSONArray boxes = new JSONArray();
        for (Box box : deployment.boxes()) {
            boxes.put(new JSONArray(List.of(
                    box.uid(),
                    box.nodeId(),
                    box.zoneIndex(),
                    box.modelIndex(),
                    box.cell(),
                    box.concurrentTransfers())));
        }
        JSONArray faults = new JSONArray();
        for (Fault fault : scenario.faults()) {
            faults.put(new JSONArray(List.of(
                    fault.kind().label(),
                    fault.nodeId(),
                    fault.atMs(),
                    fault.listDelayMs(),
                    fault.durationMs(),
                    fault.magnitude())));
        }
        JSONArray requests = new JSONArray();
        for (ClientRequest request : scenario.requests()) {
            requests.put(new JSONArray(List.of(
                    request.index(),
                    request.arrivalMs(),
                    request.doormanIndex(),
                    request.classIndex(),
                    request.objectId(),
                    request.objectSet(),
                    request.partIndex(),
                    request.groupId(),
                    request.sizeKb(),
                    request.timeoutMs(),
                    request.leavesAfterMs())));
        }
        json.put("mean_work", new JSONArray(scenario.meanWorkMs()))
                .put("boxes", boxes)
                .put("events", faults)
                .put("requests", requests)
                .put("seed", scenario.seed())
                .put("retries", scenario.maxRetries())
                .put("marked", scenario.marksRetries());
        return json.toString(1);
    }

    /** Parses the output of {@link #write}; {@code file} is the name for error messages. */
    public static Trace read(String file, String text) throws Hcl.InvalidHclException {
        try {
            JSONObject json = new JSONObject(text);
            if (json.optInt("barleyspur_trace") != VERSION) {
                throw new Hcl.InvalidHclException(
                        file, 1, "key barleyspur_trace is not " + VERSION + ": not a trace, or one of another version");
            }
            JSONObject fleet = json.getJSONObject("fleet");
            Map<String, String> flatSettings = new HashMap<>();
            fleet.getJSONObject("settings").toMap().forEach((k, v) -> flatSettings.put(k, String.valueOf(v)));
            List<Box> boxes = new ArrayList<>();
            for (Object item : json.getJSONArray("boxes")) {
                JSONArray boxFields = (JSONArray) item;
                boxes.add(new Box(
                        boxFields.getString(0),
                        boxFields.getLong(1),
                        boxFields.getInt(2),
                        boxFields.getInt(3),
                        boxFields.getInt(4),
                        boxFields.getDouble(5)));
            }
            Deployment deployment = Deployment.of(
                    fleet.getString("name"),
                    flatSettings,
                    SettingsReader.read(flatSettings),
                    integers(fleet.getJSONArray("doormans")),
                    strings(fleet.getJSONArray("zones")),
                    strings(fleet.getJSONArray("kinds")),
                    strings(fleet.getJSONArray("classes")),
                    boxes);
            List<Fault> faults = new ArrayList<>();
            for (Object item : json.getJSONArray("events")) {
                JSONArray faultFields = (JSONArray) item;
                faults.add(new Fault(
                        faultKind(faultFields.getString(0)),
                        faultFields.getLong(1),
                        faultFields.getDouble(2),
                        faultFields.getDouble(3),
                        faultFields.getDouble(4),
                        faultFields.getDouble(5)));
            }
            List<ClientRequest> requests = new ArrayList<>();
            for (Object item : json.getJSONArray("requests")) {
                JSONArray requestFields = (JSONArray) item;
                requests.add(new ClientRequest(
                        requestFields.getInt(0),
                        requestFields.getDouble(1),
                        requestFields.getInt(2),
                        requestFields.getInt(3),
                        requestFields.getLong(4),
                        requestFields.getString(5),
                        requestFields.getInt(6),
                        requestFields.getInt(7),
                        requestFields.getDouble(8),
                        requestFields.getDouble(9),
                        requestFields.getDouble(10)));
            }
            Scenario scenario = new Scenario(
                    deployment,
                    json.getLong("seed"),
                    json.getInt("retries"),
                    json.getBoolean("marked"),
                    json.getJSONArray("mean_work").toList().stream()
                            .map(w -> ((Number) w).doubleValue())
                            .toList(),
                    faults,
                    requests);
            return new Trace(scenario, readExpectation(file, json, deployment));
        } catch (JSONException | IllegalArgumentException | ClassCastException e) {
            throw new Hcl.InvalidHclException(file, 1, "is not a valid trace: " + e.getMessage());
        }
    }

    private static Expectation readExpectation(String file, JSONObject json, Deployment deployment)
            throws Hcl.InvalidHclException {
        JSONObject texts = json.getJSONObject("texts");
        ExpectationFiles.Definitions definitions = ExpectationFiles.read(
                strings(json.getJSONArray("files")),
                (from, name) -> {
                    if (!texts.has(name)) {
                        throw new Hcl.InvalidHclException(file, 1, "key texts does not contain " + name);
                    }
                    return texts.getString(name);
                },
                deployment);
        String name = json.getString("expectation");
        return definitions.expectations().stream()
                .filter(e -> e.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new Hcl.InvalidHclException(
                        file, 1, "key expectation names " + name + ", which no file defines"));
    }

    private static Fault.Kind faultKind(String keyword) {
        for (Fault.Kind kind : Fault.Kind.values()) {
            if (kind.label().equals(keyword)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("unknown event: " + keyword);
    }

    private static List<String> strings(JSONArray array) {
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
