package barleyspur.config;

import barleyspur.expect.Checker;
import barleyspur.expect.Deployment;
import barleyspur.expect.FaultScript;
import barleyspur.expect.Workload;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.json.JSONException;
import org.json.JSONObject;

/** Checks a configuration against files with routing expectations. */
public final class ExpectationCheck {

    private final ExpectationFiles.Definitions definitions;
    private final List<String> files;
    private final Deployment deployment;
    private final List<Deployment> deployments;

    private ExpectationCheck(
            ExpectationFiles.Definitions definitions,
            List<String> files,
            Deployment deployment,
            boolean describedOnly) {
        this.definitions = definitions;
        this.files = files;
        this.deployment = deployment;
        List<Deployment> deployments = new ArrayList<>(definitions.deployments());
        if (!describedOnly || deployments.isEmpty()) {
            deployments.add(0, deployment);
        }
        this.deployments = deployments;
    }

    /** Reads the fleet of a configuration file. */
    public static Deployment readDeployment(Path config) throws Configuration.InvalidConfigurationException {
        try {
            return Deployments.read(new JSONObject(Files.readString(config)));
        } catch (IOException e) {
            throw new Configuration.InvalidConfigurationException(config + " can't be read: " + e.getMessage());
        } catch (JSONException e) {
            throw new Configuration.InvalidConfigurationException(config + " is not valid JSON: " + e.getMessage());
        } catch (Configuration.InvalidConfigurationException e) {
            throw new Configuration.InvalidConfigurationException(config + ": " + e.getMessage());
        }
    }

    /**
     * Reads the expectations and creates a check of them.
     *
     * @param describedOnly whether the fleets that the files define, if any, replace the one of the configuration
     */
    public static ExpectationCheck of(Deployment deployment, List<String> files, boolean describedOnly)
            throws Hcl.InvalidHclException {
        return new ExpectationCheck(
                ExpectationFiles.read(files, ExpectationCheck::readText, deployment), files, deployment, describedOnly);
    }

    private static String readText(String from, String name) throws Hcl.InvalidHclException {
        try {
            return Files.readString(Path.of(name));
        } catch (IOException e) {
            throw new Hcl.InvalidHclException(
                    from.replaceFirst(":\\d+$", ""), 1, "file " + name + " can't be read: " + e.getMessage());
        }
    }

    /** Returns the names of the expectations in the order of the files. */
    public List<String> expectationNames() {
        return definitions.expectations().stream().map(e -> e.name()).toList();
    }

    /**
     * Returns the input of the checker.
     *
     * @param only the name of the only expectation to check, or empty for all
     * @param maxSequenceLength length up to which all sequences of events are simulated; 0: as in the files
     */
    public Checker.Suite suite(String only, int maxSequenceLength) {
        return new Checker.Suite(
                definitions.expectations().stream()
                        .filter(e -> only.isEmpty() || e.name().equals(only))
                        .toList(),
                deployments,
                workloads(),
                definitions.faultScripts(),
                maxSequenceLength > 0 ? maxSequenceLength : Math.max(1, definitions.maxSequenceLength()));
    }

    /** Returns the workloads that the files define, or the default one. */
    public List<Workload> workloads() {
        return definitions.workloads().isEmpty()
                ? List.of(Workload.defaultFor(deployment.sharedSettings()))
                : definitions.workloads();
    }

    /** Returns the cases that the files define. */
    public List<FaultScript> faultScripts() {
        return definitions.faultScripts();
    }

    /** Returns the content of a trace file for a counterexample. */
    public String traceText(Checker.Counterexample counterexample) {
        return Traces.write(counterexample, files, definitions.fileTexts());
    }

    /** Returns a message for each expectation that a configuration violates; throws if either can't be read. */
    public static List<String> findViolations(Path config, OwnSettings.Expectations expectations)
            throws Configuration.InvalidConfigurationException, Hcl.InvalidHclException {
        ExpectationCheck check = of(
                readDeployment(config),
                expectations.files().stream().map(Path::toString).toList(),
                false);
        int[] remaining = {expectations.scenarios()};
        BooleanSupplier continueRunning = () -> remaining[0]-- > 0;
        List<String> violations = new ArrayList<>();
        for (Checker.ExpectationResult result : Checker.of(check.suite("", 0), Checker.Progress.NONE)
                .run(expectations.seed(), continueRunning)
                .expectationResults()) {
            if (result.verdict() == Checker.Verdict.REFUTED) {
                violations.add("expectation \"" + result.expectation().name() + "\" ("
                        + result.expectation().location() + ") is refuted: it held in " + result.satisfied() + " of "
                        + result.evaluated());
            }
        }
        return violations;
    }

    /** Throws if a configuration violates an expectation, or if the expectations can't be read. */
    public static void requireNoViolations(Path config, OwnSettings.Expectations expectations)
            throws Configuration.InvalidConfigurationException {
        try {
            List<String> violations = findViolations(config, expectations);
            if (!violations.isEmpty()) {
                throw new Configuration.InvalidConfigurationException(String.join("; ", violations));
            }
        } catch (Hcl.InvalidHclException e) {
            throw new Configuration.InvalidConfigurationException(e.getMessage());
        }
    }
}
