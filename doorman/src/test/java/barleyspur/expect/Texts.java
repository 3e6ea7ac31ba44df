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
            return ExpectationCheck.readDeployment(STATION);
        } catch (Configuration.InvalidConfigurationException e) {
            throw new AssertionError(e);
        }
    }

    static ExpectationFiles.Definitions read(Site site, String text) throws Hcl.InvalidHclException {
        return ExpectationFiles.read(
                List.of("test.hcl"),
                (from, name) -> {
                    if (!name.equals("test.hcl")) {
                        throw new Hcl.InvalidHclException("test.hcl", 1, "file " + name + " can't be read");
                    }
                    return text;
                },
                site);
    }

    /** Checks a text in its fleets, or in the station where it describes none: this many scenarios. */
    static Checker.Result check(String text, World.Maker maker, int scenarios) {
        try {
            Site site = site();
            ExpectationFiles.Definitions read = read(site, text);
            List<Site> fleets = read.deployments().isEmpty() ? List.of(site) : read.deployments();
            List<Load> loads = read.workloads().isEmpty() ? List.of(Load.usual(site.any())) : read.workloads();
            int[] left = {scenarios};
            return new Checker(
                            new Checker.Book(
                                    read.expectations(),
                                    fleets,
                                    loads,
                                    read.faultScripts(),
                                    Math.max(1, read.maxSequenceLength())),
                            maker,
                            Checker.Progress.NONE)
                    .run(1, () -> left[0]-- > 0);
        } catch (Hcl.InvalidHclException e) {
            throw new AssertionError(e);
        }
    }
}
