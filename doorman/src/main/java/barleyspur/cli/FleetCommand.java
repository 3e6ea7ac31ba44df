package barleyspur.cli;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.json.JSONObject;

/** The command {@code fleet status|watch|why NAME}, which shows a running doorman's view of the fleet. */
final class FleetCommand {

    private static final String NONE = "has no fleet: its settings contain no block fleet";
    private static final long WATCH_EVERY_MS = 500;

    private FleetCommand() {}

    static Command fleet() {
        return new Command(
                "fleet",
                "status|watch|why NAME",
                "Show a running doorman's view of the fleet: all members, "
                        + "changes as they happen, or the state of one member and its reason.",
                new Options()
                        .addOption(SecondAddress.option())
                        .addOption(Command.flag("json", "print JSON"))
                        .addOption(Command.value("seconds", "N", "how long to watch; default: until interrupted")),
                FleetCommand::run);
    }

    private static int run(CommandLine line) throws Command.Unusable, IOException {
        List<String> words = line.getArgList();
        String what = words.isEmpty() ? "status" : words.get(0);
        boolean why = what.equals("why");
        if (!List.of("status", "watch", "why").contains(what) || words.size() > (why ? 2 : 1)) {
            throw Command.Unusable.line("expected status, watch or why NAME, not " + String.join(" ", words));
        }
        if (why && words.size() < 2) {
            throw Command.Unusable.line("why needs the name of a member");
        }
        URI uri = SecondAddress.uri(line, "/admin/fleet");
        return switch (what) {
            case "watch" ->
                watch(
                        uri,
                        line.hasOption("json"),
                        Command.number(line, "seconds", Long.MAX_VALUE / 2_000, 1, 1_000_000));
            case "why" -> why(SecondAddress.get(uri, NONE), words.get(1), line.hasOption("json"));
            default -> status(SecondAddress.get(uri, NONE), line.hasOption("json"));
        };
    }

    /** Prints the view; fails if it is in doubt or the doorman has given up its name to a newer process. */
    private static int status(JSONObject view, boolean json) {
        if (json) {
            System.out.println(view.toString(2));
        } else {
            System.out.printf(
                    "fleet %s as %s sees it: %d members, version %d, digest %s%s%s%n",
                    view.getString("fleet"),
                    view.getString("self"),
                    view.getLong("size"),
                    view.getLong("version"),
                    view.getString("digest"),
                    view.getBoolean("in_doubt") ? ", IN DOUBT" : "",
                    view.getBoolean("name_given_up") ? ", NAME GIVEN UP to a newer process" : "");
            for (Object o : view.getJSONArray("members")) {
                System.out.println("  " + member((JSONObject) o));
            }
        }
        return view.getBoolean("in_doubt") || view.getBoolean("name_given_up") ? Command.FAILED : Command.OK;
    }

    private static String member(JSONObject m) {
        return String.format(
                "%-12s %-8s %-11s %-21s zone %s, life %d.%d, for %.1f s, %s",
                m.getString("name"),
                m.getBoolean("listed") ? m.getString("standing") : m.getString("standing") + " (out)",
                m.getString("phase"),
                m.getString("address"),
                m.getString("zone"),
                m.getLong("life"),
                m.getLong("incarnation"),
                m.getLong("since_ms") / 1e3,
                reason(m));
    }

    private static String reason(JSONObject m) {
        String by = m.optString("by").isEmpty() ? "" : ", said by " + m.getString("by");
        String heard = m.has("heard_ms") ? String.format(", last heard %.1f s ago", m.getLong("heard_ms") / 1e3) : "";
        return m.getString("why").replace('_', ' ') + " (" + m.getString("from") + ")" + by + heard;
    }

    private static int why(JSONObject view, String name, boolean json) {
        for (Object o : view.getJSONArray("members")) {
            JSONObject m = (JSONObject) o;
            if (m.getString("name").equals(name)) {
                System.out.println(json ? m.toString(2) : member(m));
                return Command.OK;
            }
        }
        System.err.println("barleyspur: " + view.getString("self") + " does not know a member " + name);
        return Command.FAILED;
    }

    private static int watch(URI uri, boolean json, long seconds) throws IOException {
        long end = System.nanoTime() + seconds * 1_000_000_000;
        Map<String, String> before = new TreeMap<>();
        while (System.nanoTime() < end) {
            JSONObject view = SecondAddress.get(uri, NONE);
            Map<String, String> now = new TreeMap<>();
            for (Object o : view.getJSONArray("members")) {
                JSONObject m = (JSONObject) o;
                String shown = (m.getBoolean("listed") ? "" : "out, ") + m.getString("standing") + ", "
                        + m.getString("phase") + ", life " + m.getLong("life") + "." + m.getLong("incarnation");
                now.put(m.getString("name"), shown);
                if (!shown.equals(before.get(m.getString("name")))) {
                    System.out.println(json ? m.toString() : m.getString("name") + ": " + shown + ", " + reason(m));
                }
            }
            before.keySet().stream()
                    .filter(n -> !now.containsKey(n))
                    .forEach(n -> System.out.println(
                            json
                                    ? new JSONObject()
                                            .put("name", n)
                                            .put("forgotten", true)
                                            .toString()
                                    : n + ": forgotten"));
            before = now;
            try {
                Thread.sleep(WATCH_EVERY_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Command.FAILED;
            }
        }
        return Command.OK;
    }
}
