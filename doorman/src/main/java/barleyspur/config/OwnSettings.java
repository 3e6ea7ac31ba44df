package barleyspur.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Our own settings, beside what the platform tells in {@code RELAY_CONFIG}: one HCL file with a block for each
 * subsystem, read, checked and defaulted here. A subsystem whose block is missing is off.
 *
 * @param expectations what a configuration must keep to before a reload takes it, or null
 * @param fleet        where the other doormans are, or null
 */
public record OwnSettings(Expectations expectations, FleetSettings fleet) {

    /**
     * @param files     files of routing expectations, as paths from the settings' folder
     * @param scenarios how many scenarios are played for each check
     * @param seed      of the scenarios
     */
    public record Expectations(List<Path> files, int scenarios, long seed) { }

    private static final double MOST_SCENARIOS = 100_000;

    /** With nothing switched on. */
    public static OwnSettings none() {
        return new OwnSettings(null, null);
    }

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
        root.close(List.of("expectations", "fleet"));
        Expectations expectations = null;
        for (Hcl.Block b : root.blocks("expectations")) {
            if (expectations != null) {
                throw b.invalid("stands twice");
            }
            expectations = expectations(file, b);
        }
        FleetSettings fleet = null;
        for (Hcl.Block b : root.blocks("fleet")) {
            if (fleet != null) {
                throw b.invalid("stands twice: a doorman has one fleet");
            }
            fleet = FleetSettings.read(file, b);
        }
        return new OwnSettings(expectations, fleet);
    }

    private static Expectations expectations(Path file, Hcl.Block b) throws Hcl.Invalid {
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
