package barleyspur.expect;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.ExpectationFiles;
import barleyspur.config.Hcl;
import java.nio.file.Path;
import java.util.List;

/** Expectations from text, for tests. */
final class Texts {

    static final Path STATION = Path.of("../examples/expectations/station.json");

    private Texts() {}

    static Site site() {
        try {
            return ExpectationCheck.site(STATION);
        } catch (Configuration.Invalid e) {
            throw new AssertionError(e);
        }
    }

    static ExpectationFiles.Read read(Site site, String text) throws Hcl.Invalid {
        return ExpectationFiles.read(
                List.of("test.hcl"),
                (from, name) -> {
                    if (!name.equals("test.hcl")) {
                        throw new Hcl.Invalid("test.hcl", 1, "file " + name + " can't be read");
                    }
                    return text;
                },
                site);
    }

    /** Checks a text in its fleets, or in the station where it describes none: this many scenarios. */
    static Checker.Result check(String text, World.Maker maker, int scenarios) {
        try {
            Site site = site();
            ExpectationFiles.Read read = read(site, text);
            List<Site> fleets = read.fleets().isEmpty() ? List.of(site) : read.fleets();
            List<Load> loads = read.loads().isEmpty() ? List.of(Load.usual(site.any())) : read.loads();
            int[] left = {scenarios};
            return new Checker(
                            new Checker.Book(
                                    read.expectations(), fleets, loads, read.cases(), Math.max(1, read.depth())),
                            maker,
                            Checker.Progress.NONE)
                    .run(1, () -> left[0]-- > 0);
        } catch (Hcl.Invalid e) {
            throw new AssertionError(e);
        }
    }
}
