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

    private static final String NO_FLEET = "has no fleet: its settings contain no block fleet";
    private static final long WATCH_INTERVAL_MS = 500;

    private FleetCommand() {}

    static Command command() {
        return new Command(
                "fleet",
                "status|watch|why NAME",
                "Show a running doorman's view of the fleet: all members, "
                        + "changes as they happen, or the state of one member and its reason.",
                new Options()
                        .addOption(AdminClient.option())
                        .addOption(Command.flag("json", "print JSON"))
                        .addOption(Command.option("seconds", "N", "how long to watch; default: until interrupted")),
                FleetCommand::run);
    }

    private static int run(CommandLine line) throws Command.InvalidInputException, IOException {
        List<String> arguments = line.getArgList();
        String subcommand = arguments.isEmpty() ? "status" : arguments.get(0);
        boolean forMember = subcommand.equals("why");
        if (!List.of("status", "watch", "why").contains(subcommand) || arguments.size() > (forMember ? 2 : 1)) {
            throw Command.InvalidInputException.commandLine(
                    "expected status, watch or why NAME, not " + String.join(" ", arguments));
        }
        if (forMember && arguments.size() < 2) {
            throw Command.InvalidInputException.commandLine("why needs the name of a member");
        }
        URI uri = AdminClient.uri(line, "/admin/fleet");
        return switch (subcommand) {
            case "watch" ->
                watch(
                        uri,
                        line.hasOption("json"),
                        Command.integer(line, "seconds", Long.MAX_VALUE / 2_000, 1, 1_000_000));
            case "why" -> showMember(AdminClient.get(uri, NO_FLEET), arguments.get(1), line.hasOption("json"));
            default -> showStatus(AdminClient.get(uri, NO_FLEET), line.hasOption("json"));
        };
    }

    /** Prints the view; fails if it is in doubt or the doorman has given up its name to a newer process. */
    private static int showStatus(JSONObject view, boolean json) {
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
            for (Object entry : view.getJSONArray("members")) {
                System.out.println("  " + describe((JSONObject) entry));
            }
        }
        return view.getBoolean("in_doubt") || view.getBoolean("name_given_up") ? Command.FAILED : Command.OK;
    }

    private static String describe(JSONObject member) {
        return String.format(
                "%-12s %-8s %-11s %-21s zone %s, life %d.%d, for %.1f s, %s",
                member.getString("name"),
                member.getBoolean("listed") ? member.getString("standing") : member.getString("standing") + " (out)",
                member.getString("phase"),
                member.getString("address"),
                member.getString("zone"),
                member.getLong("life"),
                member.getLong("incarnation"),
                member.getLong("since_ms") / 1e3,
                reason(member));
    }

    private static String reason(JSONObject member) {
        String reportedBy = member.optString("by").isEmpty() ? "" : ", said by " + member.getString("by");
        String lastHeard = member.has("heard_ms")
                ? String.format(", last heard %.1f s ago", member.getLong("heard_ms") / 1e3)
                : "";
        return member.getString("why").replace('_', ' ') + " (" + member.getString("from") + ")" + reportedBy
                + lastHeard;
    }

    private static int showMember(JSONObject view, String name, boolean json) {
        for (Object entry : view.getJSONArray("members")) {
            JSONObject member = (JSONObject) entry;
            if (member.getString("name").equals(name)) {
                System.out.println(json ? member.toString(2) : describe(member));
                return Command.OK;
            }
        }
        System.err.println("barleyspur: " + view.getString("self") + " does not know a member " + name);
        return Command.FAILED;
    }

    private static int watch(URI uri, boolean json, long seconds) throws IOException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000;
        Map<String, String> previous = new TreeMap<>();
        while (System.nanoTime() < endNanos) {
            JSONObject view = AdminClient.get(uri, NO_FLEET);
            Map<String, String> current = new TreeMap<>();
            for (Object entry : view.getJSONArray("members")) {
                JSONObject member = (JSONObject) entry;
                String description = (member.getBoolean("listed") ? "" : "out, ") + member.getString("standing") + ", "
                        + member.getString("phase") + ", life " + member.getLong("life") + "."
                        + member.getLong("incarnation");
                current.put(member.getString("name"), description);
                if (!description.equals(previous.get(member.getString("name")))) {
                    System.out.println(
                            json
                                    ? member.toString()
                                    : member.getString("name") + ": " + description + ", " + reason(member));
                }
            }
            previous.keySet().stream()
                    .filter(name -> !current.containsKey(name))
                    .forEach(name -> System.out.println(
                            json
                                    ? new JSONObject()
                                            .put("name", name)
                                            .put("forgotten", true)
                                            .toString()
                                    : name + ": forgotten"));
            previous = current;
            try {
                Thread.sleep(WATCH_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Command.FAILED;
            }
        }
        return Command.OK;
    }
}
