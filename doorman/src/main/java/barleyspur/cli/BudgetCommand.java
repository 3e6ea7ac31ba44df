package barleyspur.cli;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.json.JSONArray;
import org.json.JSONObject;

/** The command {@code budget status|why NAME}, which shows a running doorman's shares of the fleet's budgets. */
final class BudgetCommand {

    private static final String NONE = "has no budgets: its settings contain no block budgets";

    private BudgetCommand() {}

    static Command budget() {
        return new Command(
                "budget",
                "status|why NAME",
                "Show a running doorman's shares of the fleet's budgets and, if it divides the budgets, "
                        + "which doorman holds how much, until when, and what is withheld and why.",
                new Options().addOption(SecondAddress.option()).addOption(Command.flag("json", "print JSON")),
                BudgetCommand::run);
    }

    private static int run(CommandLine line) throws Command.Unusable, IOException {
        List<String> words = line.getArgList();
        String what = words.isEmpty() ? "status" : words.get(0);
        boolean why = what.equals("why");
        if (!List.of("status", "why").contains(what) || words.size() > (why ? 2 : 1)) {
            throw Command.Unusable.line("expected status or why NAME, not " + String.join(" ", words));
        }
        if (why && words.size() < 2) {
            throw Command.Unusable.line("why needs the name of a budget, such as cold or cold:s-00c41f7a");
        }
        URI uri = SecondAddress.uri(line, "/admin/budget");
        JSONObject ledger = SecondAddress.get(uri, NONE);
        if (!ledger.getBoolean("ready")) {
            System.err.println("barleyspur: " + ledger.getString("self") + " has no address in its fleet yet");
            return Command.FAILED;
        }
        return why ? why(ledger, words.get(1), line.hasOption("json")) : status(ledger, line.hasOption("json"));
    }

    /** Prints all budgets; fails if the doorman needs shares and the doorman that divides them does not respond. */
    private static int status(JSONObject ledger, boolean json) {
        boolean lost = ledger.getBoolean("lost");
        if (json) {
            System.out.println(ledger.toString(2));
            return lost ? Command.FAILED : Command.OK;
        }
        System.out.printf(
                "%s %s%s%n",
                ledger.getString("self"),
                ledger.getBoolean("divides")
                        ? "divides, for another " + ledger.getLong("term_left_ms") + " ms unless the voters renew it"
                        : lost
                                ? "HEARS NO DIVIDER"
                                : ledger.getJSONArray("own").isEmpty()
                                        ? "has asked for nothing"
                                                + (ledger.getString("divider").isEmpty()
                                                        ? ""
                                                        : "; the divider is at " + ledger.getString("divider"))
                                        : "asks the divider at " + ledger.getString("divider"),
                ledger.getBoolean("silent") ? "; it has just started, and neither votes nor uses floors yet" : "");
        for (Object o : ledger.getJSONArray("own")) {
            System.out.println("  " + own((JSONObject) o));
        }
        for (Object o : ledger.getJSONArray("divided")) {
            row((JSONObject) o, false);
        }
        return lost ? Command.FAILED : Command.OK;
    }

    private static String own(JSONObject o) {
        return String.format(
                "%-24s %-6s holds %d%s of %d for %.1f s, %s %d, demand %.1f%s",
                o.getString("budget"),
                o.getString("kind"),
                o.getLong("amount"),
                o.getLong("floor") > 0 ? " and a floor of " + o.getLong("floor") : "",
                o.getLong("whole"),
                o.getLong("left_ms") / 1e3,
                o.getString("kind").equals("amount") ? "spent" : "using",
                o.getLong("using"),
                o.getDouble("demand"),
                o.getLong("overslept") + o.getLong("overheld") == 0
                        ? ""
                        : "; BEYOND BOUNDS: " + o.getLong("overslept") + " sends after a pause, "
                                + o.getLong("overheld") + " places held too long");
    }

    private static void row(JSONObject row, boolean all) {
        JSONArray holdings = row.getJSONArray("holdings");
        System.out.printf(
                "divides %s: %d of %d out among %d%s%n",
                row.getString("budget"),
                row.getLong("out"),
                row.getLong("limit"),
                holdings.length(),
                row.getString("why").isEmpty() ? "" : "; " + row.getString("why"));
        for (Object o : holdings) {
            JSONObject h = (JSONObject) o;
            if (all || h.getLong("committed") > 0) {
                System.out.printf(
                        "    %-12s may use %d for %.1f s, is to have %d, wants %d, uses %d, heard %.1f s ago%s%n",
                        h.getString("doorman"),
                        h.getLong("committed"),
                        h.getLong("left_ms") / 1e3,
                        h.getLong("target"),
                        h.getLong("wants"),
                        h.getLong("using"),
                        h.getLong("heard_ms") / 1e3,
                        h.getBoolean("gone") ? ", has left" : "");
            }
        }
    }

    private static int why(JSONObject ledger, String name, boolean json) {
        boolean known = false;
        for (Object o : ledger.getJSONArray("own")) {
            JSONObject own = (JSONObject) o;
            if (own.getString("budget").equals(name)) {
                System.out.println(json ? own.toString(2) : own(own));
                known = true;
            }
        }
        for (Object o : ledger.getJSONArray("divided")) {
            JSONObject row = (JSONObject) o;
            if (row.getString("budget").equals(name)) {
                if (json) {
                    System.out.println(row.toString(2));
                } else {
                    row(row, true);
                }
                known = true;
            }
        }
        if (!known) {
            System.err.println("barleyspur: " + ledger.getString("self") + " neither uses nor divides a budget " + name
                    + (ledger.getBoolean("divides") ? "" : "; the divider is at " + ledger.getString("divider")));
        }
        return known ? Command.OK : Command.FAILED;
    }
}
