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
 * @param fleet membership of a fleet of doormans, or null
 * @param budgets limits on what the doormans of the fleet use together, or null
 */
public record OwnSettings(Expectations expectations, FleetSettings fleet, BudgetSettings budgets) {

    /**
     * The block {@code expectations}.
     *
     * @param files files with routing expectations, resolved against the directory of the settings file
     * @param scenarios number of scenarios to simulate for each check
     * @param seed random seed of the scenarios
     */
    public record Expectations(List<Path> files, int scenarios, long seed) {}

    private static final double MAX_SCENARIOS = 100_000;

    /** Returns settings with every component off. */
    public static OwnSettings none() {
        return new OwnSettings(null, null, null);
    }

    /** Reads the file; errors name file and line. */
    public static OwnSettings load(Path file) throws Hcl.InvalidHclException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new Hcl.InvalidHclException(file.toString(), 1, "can't be read: " + e.getMessage());
        }
        return read(file, text);
    }

    static OwnSettings read(Path file, String text) throws Hcl.InvalidHclException {
        Hcl.Block root = Hcl.read(file.toString(), text);
        root.rejectUnknown(List.of("expectations", "fleet", "budgets", "budget"));
        Expectations expectations = null;
        for (Hcl.Block block : root.blocks("expectations")) {
            if (expectations != null) {
                throw block.invalid("stands twice");
            }
            expectations = readExpectations(file, block);
        }
        FleetSettings fleet = null;
        for (Hcl.Block block : root.blocks("fleet")) {
            if (fleet != null) {
                throw block.invalid("stands twice: a doorman has one fleet");
            }
            fleet = FleetSettings.read(file, block);
        }
        return new OwnSettings(expectations, fleet, readBudgets(root, fleet));
    }

    /** Rejects settings that contradict the platform's configuration. */
    public void validateAgainst(Configuration configuration) throws Hcl.InvalidHclException {
        if (budgets != null) {
            budgets.validateModels(configuration.names().kinds());
        }
    }

    /** Returns the blocks and keys that differ in {@code next} and need a restart to take effect. */
    public List<String> changesRequiringRestart(OwnSettings next) {
        List<String> changes = new ArrayList<>();
        if ((fleet == null) != (next.fleet == null) || fleet != null && !fleet.isSameAs(next.fleet)) {
            changes.add("fleet");
        }
        if (budgets != null) {
            changes.addAll(budgets.changesRequiringRestart(next.budgets));
        } else if (next.budgets != null) {
            changes.add("budgets");
        }
        return changes;
    }

    private static BudgetSettings readBudgets(Hcl.Block root, FleetSettings fleet) throws Hcl.InvalidHclException {
        List<Hcl.Block> commonBlocks = root.blocks("budgets");
        List<Hcl.Block> budgetBlocks = root.blocks("budget");
        if (commonBlocks.isEmpty()) {
            if (!budgetBlocks.isEmpty()) {
                throw budgetBlocks.get(0).invalid("stands without a block budgets { voters = [...] }");
            }
            return null;
        }
        if (commonBlocks.size() > 1) {
            throw commonBlocks.get(1).invalid("stands twice");
        }
        if (fleet == null) {
            throw commonBlocks.get(0).invalid("stands without a block fleet, whose datagrams budgets need");
        }
        return BudgetSettings.read(commonBlocks.get(0), budgetBlocks);
    }

    private static Expectations readExpectations(Path file, Hcl.Block block) throws Hcl.InvalidHclException {
        Hcl.Value files = block.value("files");
        if (files == null) {
            throw block.invalid("has no key files");
        }
        List<Path> paths = new ArrayList<>();
        for (String name : files.asStrings()) {
            paths.add(file.resolveSibling(name));
        }
        int scenarios = (int) block.number("scenarios", 60, 1, MAX_SCENARIOS);
        long seed = (long) block.number("seed", 1, 0, 1e15);
        block.rejectUnknown(List.of());
        return new Expectations(List.copyOf(paths), scenarios, seed);
    }
}
