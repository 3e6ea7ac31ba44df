package barleyspur.expect;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.ExpectationFiles;
import barleyspur.config.Hcl;
import java.nio.file.Path;
import java.util.List;

/** Reads and checks expectations from strings, for tests. */
final class ExpectationFixtures {

    static final Path STATION_CONFIG = Path.of("../examples/expectations/station.json");

    private ExpectationFixtures() {}

    /** The deployment of the example configuration. */
    static Deployment stationDeployment() {
        try {
            return ExpectationCheck.readDeployment(STATION_CONFIG);
        } catch (Configuration.InvalidConfigurationException e) {
            throw new AssertionError(e);
        }
    }

    /** Reads a text as the expectation file {@code test.hcl}. */
    static ExpectationFiles.Definitions read(Deployment deployment, String text) throws Hcl.InvalidHclException {
        return ExpectationFiles.read(
                List.of("test.hcl"),
                (from, name) -> {
                    if (!name.equals("test.hcl")) {
                        throw new Hcl.InvalidHclException("test.hcl", 1, "file " + name + " can't be read");
                    }
                    return text;
                },
                deployment);
    }

    /** Checks expectations in this many scenarios, in the fleets of the text or else in the example station. */
    static Checker.Result check(String text, ScenarioSimulation.PolicyFactory policyFactory, int scenarios) {
        try {
            Deployment deployment = stationDeployment();
            ExpectationFiles.Definitions read = read(deployment, text);
            List<Deployment> deployments = read.deployments().isEmpty() ? List.of(deployment) : read.deployments();
            List<Workload> workloads = read.workloads().isEmpty()
                    ? List.of(Workload.defaultFor(deployment.sharedSettings()))
                    : read.workloads();
            int[] remaining = {scenarios};
            return new Checker(
                            new Checker.Suite(
                                    read.expectations(),
                                    deployments,
                                    workloads,
                                    read.faultScripts(),
                                    Math.max(1, read.maxSequenceLength())),
                            policyFactory,
                            Checker.Progress.NONE)
                    .run(1, () -> remaining[0]-- > 0);
        } catch (Hcl.InvalidHclException e) {
            throw new AssertionError(e);
        }
    }
}
