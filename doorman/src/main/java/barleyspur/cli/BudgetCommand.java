package barleyspur.cli;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * The command {@code budget status|why NAME}, which shows a running doorman's shares of the fleet's budgets. Its output
 * uses the terms of the administration API: the divider is the lease coordinator, and what it has granted is out.
 */
final class BudgetCommand {

    private static final String NO_BUDGETS = "has no budgets: its settings contain no block budgets";

    private BudgetCommand() {}

    static Command command() {
        return new Command(
                "budget",
                "status|why NAME",
                "Show a running doorman's shares of the fleet's budgets and, if it divides the budgets, "
                        + "which doorman holds how much, until when, and what is withheld and why.",
                new Options().addOption(AdminClient.option()).addOption(Command.flag("json", "print JSON")),
                BudgetCommand::run);
    }

    private static int run(CommandLine line) throws Command.InvalidInputException, IOException {
        List<String> arguments = line.getArgList();
        String subcommand = arguments.isEmpty() ? "status" : arguments.get(0);
        boolean forBudget = subcommand.equals("why");
        if (!List.of("status", "why").contains(subcommand) || arguments.size() > (forBudget ? 2 : 1)) {
            throw Command.InvalidInputException.commandLine(
                    "expected status or why NAME, not " + String.join(" ", arguments));
        }
        if (forBudget && arguments.size() < 2) {
            throw Command.InvalidInputException.commandLine(
                    "why needs the name of a budget, such as cold or cold:s-00c41f7a");
        }
        URI uri = AdminClient.uri(line, "/admin/budget");
        JSONObject state = AdminClient.get(uri, NO_BUDGETS);
        if (!state.getBoolean("ready")) {
            System.err.println("barleyspur: " + state.getString("self") + " has no address in its fleet yet");
            return Command.FAILED;
        }
        return forBudget
                ? showBudget(state, arguments.get(1), line.hasOption("json"))
                : showStatus(state, line.hasOption("json"));
    }

    /** Prints all budgets; fails if the doorman requests leases and no coordinator answers. */
    private static int showStatus(JSONObject state, boolean json) {
        boolean coordinatorLost = state.getBoolean("lost");
        if (json) {
            System.out.println(state.toString(2));
            return coordinatorLost ? Command.FAILED : Command.OK;
        }
        System.out.printf(
                "%s %s%s%n",
                state.getString("self"),
                state.getBoolean("divides")
                        ? "divides, for another " + state.getLong("term_left_ms") + " ms unless the voters renew it"
                        : coordinatorLost
                                ? "HEARS NO DIVIDER"
                                : state.getJSONArray("own").isEmpty()
                                        ? "has asked for nothing"
                                                + (state.getString("divider").isEmpty()
                                                        ? ""
                                                        : "; the divider is at " + state.getString("divider"))
                                        : "asks the divider at " + state.getString("divider"),
                state.getBoolean("silent") ? "; it has just started, and neither votes nor uses floors yet" : "");
        for (Object entry : state.getJSONArray("own")) {
            System.out.println("  " + describeOwn((JSONObject) entry));
        }
        for (Object entry : state.getJSONArray("divided")) {
            printAllocation((JSONObject) entry, false);
        }
        return coordinatorLost ? Command.FAILED : Command.OK;
    }

    private static String describeOwn(JSONObject share) {
        return String.format(
                "%-24s %-6s holds %d%s of %d for %.1f s, %s %d, demand %.1f%s",
                share.getString("budget"),
                share.getString("kind"),
                share.getLong("amount"),
                share.getLong("floor") > 0 ? " and a floor of " + share.getLong("floor") : "",
                share.getLong("whole"),
                share.getLong("left_ms") / 1e3,
                share.getString("kind").equals("amount") ? "spent" : "using",
                share.getLong("using"),
                share.getDouble("demand"),
                share.getLong("overslept") + share.getLong("overheld") == 0
                        ? ""
                        : "; BEYOND BOUNDS: " + share.getLong("overslept") + " sends after a pause, "
                                + share.getLong("overheld") + " places held too long");
    }

    private static void printAllocation(JSONObject budget, boolean includeUnused) {
        JSONArray holders = budget.getJSONArray("holdings");
        System.out.printf(
                "divides %s: %d of %d out among %d%s%n",
                budget.getString("budget"),
                budget.getLong("out"),
                budget.getLong("limit"),
                holders.length(),
                budget.getString("why").isEmpty() ? "" : "; " + budget.getString("why"));
        for (Object entry : holders) {
            JSONObject holder = (JSONObject) entry;
            if (includeUnused || holder.getLong("committed") > 0) {
                System.out.printf(
                        "    %-12s may use %d for %.1f s, is to have %d, wants %d, uses %d, heard %.1f s ago%s%n",
                        holder.getString("doorman"),
                        holder.getLong("committed"),
                        holder.getLong("left_ms") / 1e3,
                        holder.getLong("target"),
                        holder.getLong("wants"),
                        holder.getLong("using"),
                        holder.getLong("heard_ms") / 1e3,
                        holder.getBoolean("gone") ? ", has left" : "");
            }
        }
    }

    private static int showBudget(JSONObject state, String name, boolean json) {
        boolean found = false;
        for (Object entry : state.getJSONArray("own")) {
            JSONObject share = (JSONObject) entry;
            if (share.getString("budget").equals(name)) {
                System.out.println(json ? share.toString(2) : describeOwn(share));
                found = true;
            }
        }
        for (Object entry : state.getJSONArray("divided")) {
            JSONObject budget = (JSONObject) entry;
            if (budget.getString("budget").equals(name)) {
                if (json) {
                    System.out.println(budget.toString(2));
                } else {
                    printAllocation(budget, true);
                }
                found = true;
            }
        }
        if (!found) {
            System.err.println("barleyspur: " + state.getString("self") + " neither uses nor divides a budget " + name
                    + (state.getBoolean("divides") ? "" : "; the divider is at " + state.getString("divider")));
        }
        return found ? Command.OK : Command.FAILED;
    }
}
