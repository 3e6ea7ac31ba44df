package barleyspur.channel;

import barleyspur.config.Configuration;
import barleyspur.decision.Director.State;
import barleyspur.doorman.Commands;
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
    private final Commands commands;
    private long cursor;

    /** Creates a reader; zones and kinds are numbered by their places in these lists. */
    public CommandReader(List<String> zones, List<String> kinds, Commands commands) {
        this.zones = zones;
        this.kinds = kinds;
        this.commands = commands;
    }

    /** Returns the number of the last command that was passed on. */
    long cursor() {
        return cursor;
    }

    /** Passes on the commands known at process start. */
    public void known(JSONObject known) {
        JSONArray cmds = known.getJSONArray("cmds");
        for (int i = 0; i < cmds.length(); i++) {
            command(cmds.getJSONObject(i));
        }
        cursor = known.getLong("cursor");
    }

    /** Reads one line. Returns false if the line shows that a command was missed, or can't be parsed. */
    boolean line(String line) {
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
                command(command);
            }
            return true;
        } catch (JSONException | NumberFormatException e) {
            LogEvent.log(LOG.atWarn(), "bad line", "cause", e.getMessage());
            return false;
        }
    }

    /** Applies a command. A malformed one is skipped: requesting it again would return the same text. */
    private void command(JSONObject command) {
        try {
            if (command.has("nodes")) {
                nodes(command.getJSONObject("nodes"));
            } else if (command.has("drop")) {
                drop(command.getJSONObject("drop"));
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

    private void nodes(JSONObject nodes) {
        List<NodeListing> listings = new ArrayList<>();
        JSONArray targets = nodes.getJSONArray("targets");
        for (int i = 0; i < targets.length(); i++) {
            try {
                listings.add(listing(targets.getJSONObject(i)));
            } catch (JSONException | IllegalArgumentException e) {
                LogEvent.log(LOG.atWarn(), "node passed over", "cause", e.getMessage());
            }
        }
        commands.listed(nodes.optBoolean("all"), listings);
    }

    private NodeListing listing(JSONObject target) {
        State state =
                switch (target.getString("state")) {
                    case "in_service" -> State.READY;
                    case "terminating" -> State.DRAINING;
                    case "terminated" -> State.GONE;
                    default -> throw new IllegalArgumentException("state " + target.getString("state") + " is unknown");
                };
        return new NodeListing(
                target.getString("uid"),
                Configuration.address("endpoint", target.getString("endpoint")),
                place("az", zones, target.getString("az")),
                place("model", kinds, target.getString("model")),
                target.optInt("pod_group"),
                state,
                target.optDouble("capacity_hint", 0),
                target.optDouble("boot_ms", 0));
    }

    private static int place(String key, List<String> names, String name) {
        int place = names.indexOf(name);
        if (place < 0) {
            throw new IllegalArgumentException(key + " " + name + " is unknown");
        }
        return place;
    }

    private void drop(JSONObject drop) {
        double when = drop.getDouble("when");
        if (drop.has("id")) {
            commands.purgedObject(Long.parseUnsignedLong(drop.getString("id"), HEX), when);
        } else {
            commands.purgedGroup(drop.getInt("family"), when);
        }
    }
}
