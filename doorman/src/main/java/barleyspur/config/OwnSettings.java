package barleyspur.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The program's own settings, in addition to the platform's configuration in {@code RELAY_CONFIG}: one HCL file with a
 * block for each optional component, parsed and validated here. A component without a block is off.
 *
 * @param expectations routing expectations that a configuration has to satisfy before a reload applies it, or null
 * @param fleet        membership of a fleet of doormans, or null
 * @param budgets      limits on what the doormans of the fleet use together, or null
 */
public record OwnSettings(Expectations expectations, FleetSettings fleet, BudgetSettings budgets) {

    /**
     * The block {@code expectations}.
     *
     * @param files     files with routing expectations, resolved against the directory of the settings file
     * @param scenarios number of scenarios to simulate for each check
     * @param seed      random seed of the scenarios
     */
    public record Expectations(List<Path> files, int scenarios, long seed) {}

    private static final double MOST_SCENARIOS = 100_000;

    /** Returns settings with every component off. */
    public static OwnSettings none() {
        return new OwnSettings(null, null, null);
    }

    /** Reads the file; errors name file and line. */
    public static OwnSettings load(Path file) throws Hcl.Invalid {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Hcl.Invalid(file.toString(), 1, "can't be read: " + e.getMessage());
        }
        return read(file, text);
    }

    static OwnSettings read(Path file, String text) throws Hcl.Invalid {
        Hcl.Block root = Hcl.read(file.toString(), text);
        root.close(List.of("expectations", "fleet", "budgets", "budget"));
        Expectations expectations = null;
        for (Hcl.Block b : root.blocks("expectations")) {
            if (expectations != null) {
                throw b.invalid("stands twice");
            }
            expectations = readExpectations(file, b);
        }
        FleetSettings fleet = null;
        for (Hcl.Block b : root.blocks("fleet")) {
            if (fleet != null) {
                throw b.invalid("stands twice: a doorman has one fleet");
            }
            fleet = FleetSettings.read(file, b);
        }
        return new OwnSettings(expectations, fleet, readBudgets(root, fleet));
    }

    /** Rejects settings that contradict the platform's configuration. */
    public void check(Configuration configuration) throws Hcl.Invalid {
        if (budgets != null) {
            budgets.check(configuration.names().kinds());
        }
    }

    /** Returns the blocks and keys that differ in {@code next} and need a restart to take effect. */
    public List<String> fixedChanges(OwnSettings next) {
        List<String> fixed = new ArrayList<>();
        if ((fleet == null) != (next.fleet == null) || fleet != null && !fleet.sameAs(next.fleet)) {
            fixed.add("fleet");
        }
        if (budgets != null) {
            fixed.addAll(budgets.fixedChanges(next.budgets));
        } else if (next.budgets != null) {
            fixed.add("budgets");
        }
        return fixed;
    }

    private static BudgetSettings readBudgets(Hcl.Block root, FleetSettings fleet) throws Hcl.Invalid {
        List<Hcl.Block> common = root.blocks("budgets");
        List<Hcl.Block> each = root.blocks("budget");
        if (common.isEmpty()) {
            if (!each.isEmpty()) {
                throw each.get(0).invalid("stands without a block budgets { voters = [...] }");
            }
            return null;
        }
        if (common.size() > 1) {
            throw common.get(1).invalid("stands twice");
        }
        if (fleet == null) {
            throw common.get(0).invalid("stands without a block fleet, whose datagrams budgets need");
        }
        return BudgetSettings.read(common.get(0), each);
    }

    private static Expectations readExpectations(Path file, Hcl.Block b) throws Hcl.Invalid {
        Hcl.Value files = b.value("files");
        if (files == null) {
            throw b.invalid("has no key files");
        }
        List<Path> paths = new ArrayList<>();
        for (String name : files.texts()) {
            paths.add(file.resolveSibling(name));
        }
        int scenarios = (int) b.number("scenarios", 60, 1, MOST_SCENARIOS);
        long seed = (long) b.number("seed", 1, 0, 1e15);
        b.close(List.of());
        return new Expectations(List.copyOf(paths), scenarios, seed);
    }
}
