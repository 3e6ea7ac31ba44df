package barleyspur.channel;

import barleyspur.config.Configuration;
import barleyspur.decision.RoutingPolicy.State;
import barleyspur.doorman.CommandListener;
import barleyspur.doorman.NodeListing;
import barleyspur.log.LogEvent;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Parses numbered commands and passes each of them to a listener, once and in order. */
public final class CommandReader {

    private static final Logger LOG = LoggerFactory.getLogger("channel");
    private static final int HEX = 16;

    private final List<String> zones;
    private final List<String> kinds;
    private final CommandListener listener;
    private long cursor;

    /** Creates a reader; zones and kinds are numbered by their places in these lists. */
    public CommandReader(List<String> zones, List<String> kinds, CommandListener listener) {
        this.zones = zones;
        this.kinds = kinds;
        this.listener = listener;
    }

    /** Returns the number of the last command that was passed on. */
    long cursor() {
        return cursor;
    }

    /** Passes on the commands known at process start. */
    public void readInitial(JSONObject initialCommands) {
        JSONArray cmds = initialCommands.getJSONArray("cmds");
        for (int i = 0; i < cmds.length(); i++) {
            apply(cmds.getJSONObject(i));
        }
        cursor = initialCommands.getLong("cursor");
    }

    /** Reads one line. Returns false if the line shows that a command was missed, or can't be parsed. */
    boolean readLine(String line) {
        String text = line.strip();
        if (text.isEmpty()) {
            return true;
        }
        try {
            if (text.charAt(0) != '{') {
                return Long.parseLong(text) <= cursor;
            }
            JSONObject command = new JSONObject(text);
            long number = command.getLong("cursor");
            if (number > cursor + 1) {
                return false;
            }
            if (number == cursor + 1) {
                cursor = number;
                apply(command);
            }
            return true;
        } catch (JSONException | NumberFormatException e) {
            LogEvent.log(LOG.atWarn(), "bad line", "cause", e.getMessage());
            return false;
        }
    }

    /** Applies a command. A malformed one is skipped: requesting it again would return the same text. */
    private void apply(JSONObject command) {
        try {
            if (command.has("nodes")) {
                applyNodeList(command.getJSONObject("nodes"));
            } else if (command.has("drop")) {
                applyPurge(command.getJSONObject("drop"));
            } else {
                LogEvent.log(
                        LOG.atWarn(),
                        "command passed over",
                        "command",
                        command.opt("cursor"),
                        "cause",
                        "it has neither key nodes nor key drop");
            }
        } catch (JSONException | IllegalArgumentException e) {
            LogEvent.log(
                    LOG.atWarn(), "command passed over", "command", command.opt("cursor"), "cause", e.getMessage());
        }
    }

    private void applyNodeList(JSONObject nodes) {
        List<NodeListing> listings = new ArrayList<>();
        JSONArray targets = nodes.getJSONArray("targets");
        for (int i = 0; i < targets.length(); i++) {
            try {
                listings.add(parseListing(targets.getJSONObject(i)));
            } catch (JSONException | IllegalArgumentException e) {
                LogEvent.log(LOG.atWarn(), "node passed over", "cause", e.getMessage());
            }
        }
        listener.onNodeList(nodes.optBoolean("all"), listings);
    }

    private NodeListing parseListing(JSONObject target) {
        State state =
                switch (target.getString("state")) {
                    case "in_service" -> State.READY;
                    case "terminating" -> State.DRAINING;
                    case "terminated" -> State.GONE;
                    default -> throw new IllegalArgumentException("state " + target.getString("state") + " is unknown");
                };
        return new NodeListing(
                target.getString("uid"),
                Configuration.parseAddress("endpoint", target.getString("endpoint")),
                indexOf("az", zones, target.getString("az")),
                indexOf("model", kinds, target.getString("model")),
                target.optInt("pod_group"),
                state,
                target.optDouble("capacity_hint", 0),
                target.optDouble("boot_ms", 0));
    }

    private static int indexOf(String key, List<String> names, String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            throw new IllegalArgumentException(key + " " + name + " is unknown");
        }
        return index;
    }

    private void applyPurge(JSONObject purge) {
        double purgedAtMs = purge.getDouble("when");
        if (purge.has("id")) {
            listener.onObjectPurged(Long.parseUnsignedLong(purge.getString("id"), HEX), purgedAtMs);
        } else {
            listener.onGroupPurged(purge.getInt("family"), purgedAtMs);
        }
    }
}
