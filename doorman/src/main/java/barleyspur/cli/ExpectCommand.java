package barleyspur.cli;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import barleyspur.config.Traces;
import barleyspur.expect.Checker;
import barleyspur.expect.Deployment;
import barleyspur.expect.Expectation;
import barleyspur.expect.RoutingComparison;
import barleyspur.expect.TraceNarrative;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.json.JSONArray;
import org.json.JSONObject;

/** The commands {@code expect}, which checks routing expectations, and {@code explain}, which replays a violation. */
final class ExpectCommand {

    private static final long DEFAULT_BUDGET_S = 10;
    private static final double PROGRESS_INTERVAL_S = 2;
    /** Number of steps of a counterexample that {@code expect} prints; {@code explain} prints all. */
    private static final int MAX_STEPS = 40;

    private ExpectCommand() {}

    static Command expect() {
        Options options = new Options()
                .addOption(Command.option(
                        "config", "FILE", "the configuration to check; default: the file that RELAY_CONFIG names"))
                .addOption(Command.option("fleet", "FILE", "an HCL file whose fleets replace the configuration's own"))
                .addOption(Command.option("seed", "N", "the seed of all random choices; default: 1"))
                .addOption(
                        Command.option("budget", "SECONDS", "how long to run scenarios; default: " + DEFAULT_BUDGET_S))
                .addOption(Command.option(
                        "cases", "N", "run this many scenarios instead, which are the same on any machine"))
                .addOption(Command.option(
                        "depth", "N", "run all orders of up to this many events; default: as in the files, or 1"))
                .addOption(Command.option("only", "NAME", "check this expectation only"))
                .addOption(Command.option("json", "FILE", "write a report to this file"))
                .addOption(Command.option(
                        "traces", "FOLDER", "write counterexamples to this folder; default: the current one"))
                .addOption(Command.flag("strict", "treat an expectation that no simulated request matched as refuted"))
                .addOption(Option.builder()
                        .longOpt("diff")
                        .numberOfArgs(2)
                        .argName("OLD NEW")
                        .desc("print the differences in routing between two configurations, request by request")
                        .get());
        return new Command(
                "expect",
                "FILE.hcl...",
                "Check routing expectations against the decision module, without "
                        + "traffic. Exit code 0: all hold; 1: one is refuted; 2: the input is invalid.",
                options,
                ExpectCommand::check);
    }

    static Command explain() {
        Options options = new Options().addOption(Command.flag("step", "wait for the Enter key after each step"));
        return new Command(
                "explain",
                "TRACE",
                "Replay a counterexample that expect has written, and print each step. "
                        + "Exit code 0: the expectation holds now; 1: it fails; 2: the trace is invalid.",
                options,
                ExpectCommand::replay);
    }

    private static Path configurationPath(CommandLine line) throws Command.InvalidInputException {
        String config = line.getOptionValue("config", System.getenv("RELAY_CONFIG"));
        if (config == null || config.isBlank()) {
            throw Command.InvalidInputException.commandLine(
                    "neither --config nor the variable RELAY_CONFIG names a configuration");
        }
        return Path.of(config);
    }

    private static BooleanSupplier runLimit(CommandLine line) throws Command.InvalidInputException {
        if (line.hasOption("cases")) {
            long[] remaining = {Command.integer(line, "cases", 0, 1, 100_000_000)};
            return () -> remaining[0]-- > 0;
        }
        long endNanos =
                System.nanoTime() + Command.integer(line, "budget", DEFAULT_BUDGET_S, 0, 86_400) * 1_000_000_000;
        return () -> System.nanoTime() < endNanos;
    }

    private static int check(CommandLine line) throws Command.InvalidInputException, IOException {
        List<String> files = new ArrayList<>(line.getArgList());
        if (files.isEmpty()) {
            throw Command.InvalidInputException.commandLine("no expectation file given");
        }
        try {
            if (line.hasOption("diff")) {
                return diff(line, files);
            }
            Deployment site = ExpectationCheck.readDeployment(configurationPath(line));
            if (line.hasOption("fleet")) {
                files.add(line.getOptionValue("fleet"));
            }
            ExpectationCheck check = ExpectationCheck.of(site, files, line.hasOption("fleet"));
            String only = line.getOptionValue("only", "");
            if (!only.isEmpty() && !check.expectationNames().contains(only)) {
                throw Command.InvalidInputException.commandLine(
                        "--only: no expectation is named " + only + Hcl.suggestion(only, check.expectationNames()));
            }
            if (check.expectationNames().isEmpty()) {
                throw Command.InvalidInputException.input(files.get(0) + ":1: contains no block expectation");
            }
            return check(line, check, only);
        } catch (Configuration.InvalidConfigurationException | Hcl.InvalidHclException e) {
            throw Command.InvalidInputException.input(e.getMessage());
        }
    }

    private static int check(CommandLine line, ExpectationCheck check, String only)
            throws Command.InvalidInputException, IOException {
        long startNanos = System.nanoTime();
        Checker.Suite book = check.suite(only, (int) Command.integer(line, "depth", 0, 1, 6));
        Checker.Result result = Checker.of(book, progress(startNanos))
                .run(Command.integer(line, "seed", 1, 0, Long.MAX_VALUE / 64), runLimit(line));
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        Path folder = Path.of(line.getOptionValue("traces", "."));
        JSONArray report = new JSONArray();
        for (Checker.ExpectationResult finding : result.expectationResults()) {
            report.put(printFinding(finding, check, folder));
        }
        for (Checker.Conflict conflict : result.conflicts()) {
            System.out.printf(
                    "warning: \"%s\" (%s) and \"%s\" (%s) contradict each other or one is always violated: "
                            + "of %d situations to which both apply, none satisfied both%n",
                    conflict.first().name(),
                    conflict.first().location(),
                    conflict.second().name(),
                    conflict.second().location(),
                    conflict.eventCount());
        }
        result.coverageSummaries().forEach(covered -> System.out.println("covered: " + covered));
        System.out.printf(
                Locale.ROOT,
                "played: %d scenarios, %d requests, %d events decided, in %.1f s%n",
                result.scenarios(),
                result.requests(),
                result.decisions(),
                seconds);
        if (line.hasOption("json")) {
            JSONObject json = new JSONObject()
                    .put("expectations", report)
                    .put("scenarios", result.scenarios())
                    .put("requests", result.requests())
                    .put("decisions", result.decisions())
                    .put("seconds", seconds)
                    .put("covered", new JSONArray(result.coverageSummaries()));
            Files.writeString(Path.of(line.getOptionValue("json")), json.toString(1) + "\n");
        }
        return result.isSuccess(line.hasOption("strict")) ? Command.OK : Command.FAILED;
    }

    private static Checker.Progress progress(long startNanos) {
        return new Checker.Progress() {
            private double last;

            @Override
            public void onScenario(long scenarios, long decisions, int refuted) {
                double now = (System.nanoTime() - startNanos) / 1e9;
                if (now - last >= PROGRESS_INTERVAL_S) {
                    last = now;
                    System.err.printf(
                            Locale.ROOT,
                            "%.0f s: %d scenarios, %d events decided, %d expectations refuted%n",
                            now,
                            scenarios,
                            decisions,
                            refuted);
                }
            }

            @Override
            public void onShrink(String expectation) {
                System.err.println("minimizing the counterexample of \"" + expectation + "\"");
            }
        };
    }

    private static JSONObject printFinding(Checker.ExpectationResult finding, ExpectationCheck check, Path folder)
            throws IOException {
        System.out.printf(
                "%-8s \"%s\" (%s): held in %d of %d%n",
                finding.verdict().label(),
                finding.expectation().name(),
                finding.expectation().location(),
                finding.satisfied(),
                finding.evaluated());
        JSONObject json = new JSONObject()
                .put("name", finding.expectation().name())
                .put("place", finding.expectation().location())
                .put("verdict", finding.verdict().label())
                .put("judged", finding.evaluated())
                .put("held", finding.satisfied());
        Checker.Counterexample counterexample = finding.counterexample();
        if (finding.verdict() == Checker.Verdict.VACUOUS) {
            System.out.println(
                    "  no simulated request matched it: does it name a class, state or event that does not occur?");
        }
        if (finding.expectation().requirement() instanceof Expectation.SettingRanges figures) {
            figures.violated()
                    .forEach(figure -> System.out.printf(
                            Locale.ROOT,
                            "  %s: settings.%s does not hold; it is %s%n",
                            figure.location(),
                            figure.text(),
                            figure.value()));
        }
        if (counterexample == null) {
            return json;
        }
        System.out.printf(
                "  found in scenario %d with %d events, %d requests and %d boxes; now %d, %d and %d, after %d plays%n",
                finding.refutedAtScenario(),
                counterexample.originalFaults(),
                counterexample.originalRequests(),
                counterexample.originalBoxes(),
                counterexample.scenario().faults().size(),
                counterexample.scenario().requests().size(),
                counterexample.scenario().deployment().boxes().size(),
                counterexample.shrinkRuns());
        System.out.println("  "
                + TraceNarrative.describeDeployment(counterexample.scenario().deployment()));
        List<TraceNarrative.Step> steps = TraceNarrative.narrate(counterexample.scenario(), finding.expectation());
        int end = steps.size();
        while (end > 0 && !steps.get(end - 1).isViolation()) {
            end--;
        }
        int from = Math.max(0, end - MAX_STEPS);
        if (from > 0) {
            System.out.println("  the first " + from + " steps are left out here");
        }
        for (TraceNarrative.Step step : steps.subList(from, end)) {
            System.out.printf(Locale.ROOT, "  %9.1f ms  %s%n", step.atMs(), step.text());
        }
        Path file = folder.resolve(finding.expectation().name().replaceAll("[^A-Za-z0-9_-]+", "-") + ".trace.json");
        Files.createDirectories(folder);
        Files.writeString(file, check.traceText(counterexample));
        System.out.println("  replay it: barleyspur explain " + file);
        return json.put("trace", file.toString())
                .put("scenario", finding.refutedAtScenario())
                .put("events", counterexample.scenario().faults().size())
                .put("requests", counterexample.scenario().requests().size())
                .put("boxes", counterexample.scenario().deployment().boxes().size());
    }

    private static int diff(CommandLine line, List<String> files)
            throws Command.InvalidInputException, Hcl.InvalidHclException, Configuration.InvalidConfigurationException {
        String[] configs = line.getOptionValues("diff");
        Deployment before = ExpectationCheck.readDeployment(Path.of(configs[0]));
        Deployment after = ExpectationCheck.readDeployment(Path.of(configs[1]));
        ExpectationCheck check = ExpectationCheck.of(before, files, false);
        if (!before.classNames().equals(after.classNames())
                || !before.stationNames().equals(after.stationNames())) {
            throw Command.InvalidInputException.input(configs[1] + ": key settings."
                    + (before.classNames().equals(after.classNames())
                            ? "areas has other stations"
                            : "grades has other classes")
                    + " than " + configs[0]
                    + ": requests can't be compared");
        }
        RoutingComparison.Result comparison = RoutingComparison.of(
                before,
                after,
                check.workloads(),
                check.faultScripts(),
                Command.integer(line, "seed", 1, 0, Long.MAX_VALUE / 64),
                check.suite("", 0).maxSequenceLength(),
                runLimit(line));
        for (RoutingComparison.Difference difference : comparison.examples()) {
            System.out.printf(
                    Locale.ROOT,
                    "request %d at %.0f ms (%s, object %x, part %d): other %s%n  before: %s%n  after:  %s%n",
                    difference.request().index(),
                    difference.request().arrivalMs(),
                    difference.className(),
                    difference.request().objectId(),
                    difference.request().partIndex(),
                    difference.aspect(),
                    difference.before(),
                    difference.after());
        }
        System.out.printf(
                "%d of %d requests go another way in %d scenarios: %s%n",
                comparison.changed(), comparison.requests(), comparison.scenarios(), comparison.countsByAspect());
        return comparison.changed() == 0 ? Command.OK : Command.FAILED;
    }

    private static int replay(CommandLine line) throws Command.InvalidInputException, IOException {
        if (line.getArgList().size() != 1) {
            throw Command.InvalidInputException.commandLine("expected exactly one trace file");
        }
        String file = line.getArgList().get(0);
        Traces.Trace trace;
        try {
            trace = Traces.read(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw Command.InvalidInputException.input(file + " can't be read: " + e.getMessage());
        } catch (Hcl.InvalidHclException e) {
            throw Command.InvalidInputException.input(e.getMessage());
        }
        System.out.println(TraceNarrative.describeDeployment(trace.scenario().deployment()));
        boolean broken = false;
        for (TraceNarrative.Step step : TraceNarrative.narrate(trace.scenario(), trace.expectation())) {
            System.out.printf(Locale.ROOT, "%9.1f ms  %s%n", step.atMs(), step.text());
            broken |= step.isViolation();
            if (line.hasOption("step") && System.in.read() < 0) {
                break;
            }
        }
        System.out.println(
                broken
                        ? "\"" + trace.expectation().name() + "\" does not hold"
                        : "\"" + trace.expectation().name() + "\" holds here");
        return broken ? Command.FAILED : Command.OK;
    }
}
