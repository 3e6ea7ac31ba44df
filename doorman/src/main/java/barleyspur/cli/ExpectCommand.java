package barleyspur.cli;

import barleyspur.config.Configuration;
import barleyspur.config.ExpectationCheck;
import barleyspur.config.Hcl;
import barleyspur.config.Traces;
import barleyspur.expect.Checker;
import barleyspur.expect.Comparison;
import barleyspur.expect.Expectation;
import barleyspur.expect.Site;
import barleyspur.expect.Story;
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

    private static final long BUDGET_S = 10;
    private static final double PROGRESS_S = 2;
    /** Number of steps of a counterexample that {@code expect} prints; {@code explain} prints all. */
    private static final int MOST_STEPS = 40;

    private ExpectCommand() {}

    static Command expect() {
        Options options = new Options()
                .addOption(Command.value(
                        "config", "FILE", "the configuration to check; default: the file that RELAY_CONFIG names"))
                .addOption(Command.value("fleet", "FILE", "an HCL file whose fleets replace the configuration's own"))
                .addOption(Command.value("seed", "N", "the seed of all random choices; default: 1"))
                .addOption(Command.value("budget", "SECONDS", "how long to run scenarios; default: " + BUDGET_S))
                .addOption(Command.value(
                        "cases", "N", "run this many scenarios instead, which are the same on any machine"))
                .addOption(Command.value(
                        "depth", "N", "run all orders of up to this many events; default: as in the files, or 1"))
                .addOption(Command.value("only", "NAME", "check this expectation only"))
                .addOption(Command.value("json", "FILE", "write a report to this file"))
                .addOption(Command.value(
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
                ExpectCommand::retell);
    }

    private static Path config(CommandLine line) throws Command.Unusable {
        String config = line.getOptionValue("config", System.getenv("RELAY_CONFIG"));
        if (config == null || config.isBlank()) {
            throw Command.Unusable.line("neither --config nor the variable RELAY_CONFIG names a configuration");
        }
        return Path.of(config);
    }

    private static BooleanSupplier more(CommandLine line) throws Command.Unusable {
        if (line.hasOption("cases")) {
            long[] left = {Command.number(line, "cases", 0, 1, 100_000_000)};
            return () -> left[0]-- > 0;
        }
        long end = System.nanoTime() + Command.number(line, "budget", BUDGET_S, 0, 86_400) * 1_000_000_000;
        return () -> System.nanoTime() < end;
    }

    private static int check(CommandLine line) throws Command.Unusable, IOException {
        List<String> files = new ArrayList<>(line.getArgList());
        if (files.isEmpty()) {
            throw Command.Unusable.line("no expectation file given");
        }
        try {
            if (line.hasOption("diff")) {
                return diff(line, files);
            }
            Site site = ExpectationCheck.site(config(line));
            if (line.hasOption("fleet")) {
                files.add(line.getOptionValue("fleet"));
            }
            ExpectationCheck check = ExpectationCheck.of(site, files, line.hasOption("fleet"));
            String only = line.getOptionValue("only", "");
            if (!only.isEmpty() && !check.names().contains(only)) {
                throw Command.Unusable.line("--only: no expectation is named " + only + Hcl.near(only, check.names()));
            }
            if (check.names().isEmpty()) {
                throw Command.Unusable.input(files.get(0) + ":1: contains no block expectation");
            }
            return check(line, check, only);
        } catch (Configuration.Invalid | Hcl.Invalid e) {
            throw Command.Unusable.input(e.getMessage());
        }
    }

    private static int check(CommandLine line, ExpectationCheck check, String only)
            throws Command.Unusable, IOException {
        long start = System.nanoTime();
        Checker.Book book = check.book(only, (int) Command.number(line, "depth", 0, 1, 6));
        Checker.Result result = Checker.of(book, progress(start))
                .run(Command.number(line, "seed", 1, 0, Long.MAX_VALUE / 64), more(line));
        double seconds = (System.nanoTime() - start) / 1e9;
        Path folder = Path.of(line.getOptionValue("traces", "."));
        JSONArray report = new JSONArray();
        for (Checker.Finding f : result.findings()) {
            report.put(print(f, check, folder));
        }
        for (Checker.Conflict c : result.conflicts()) {
            System.out.printf(
                    "warning: \"%s\" (%s) and \"%s\" (%s) contradict each other or one is always violated: "
                            + "of %d situations to which both apply, none satisfied both%n",
                    c.one().name(), c.one().place(), c.other().name(), c.other().place(), c.moments());
        }
        result.covered().forEach(c -> System.out.println("covered: " + c));
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
                    .put("covered", new JSONArray(result.covered()));
            Files.writeString(Path.of(line.getOptionValue("json")), json.toString(1) + "\n");
        }
        return result.good(line.hasOption("strict")) ? Command.OK : Command.FAILED;
    }

    private static Checker.Progress progress(long start) {
        return new Checker.Progress() {
            private double last;

            @Override
            public void played(long scenarios, long decisions, int refuted) {
                double now = (System.nanoTime() - start) / 1e9;
                if (now - last >= PROGRESS_S) {
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
            public void shrinking(String expectation) {
                System.err.println("minimizing the counterexample of \"" + expectation + "\"");
            }
        };
    }

    private static JSONObject print(Checker.Finding f, ExpectationCheck check, Path folder) throws IOException {
        System.out.printf(
                "%-8s \"%s\" (%s): held in %d of %d%n",
                f.verdict().word(), f.expectation().name(), f.expectation().place(), f.held(), f.judged());
        JSONObject json = new JSONObject()
                .put("name", f.expectation().name())
                .put("place", f.expectation().place())
                .put("verdict", f.verdict().word())
                .put("judged", f.judged())
                .put("held", f.held());
        Checker.Counterexample c = f.counterexample();
        if (f.verdict() == Checker.Verdict.VACUOUS) {
            System.out.println(
                    "  no simulated request matched it: does it name a class, state or event that does not occur?");
        }
        if (f.expectation().form() instanceof Expectation.Figures figures) {
            figures.broken()
                    .forEach(b -> System.out.printf(
                            Locale.ROOT,
                            "  %s: settings.%s does not hold; it is %s%n",
                            b.place(),
                            b.text(),
                            b.value()));
        }
        if (c == null) {
            return json;
        }
        System.out.printf(
                "  found in scenario %d with %d events, %d requests and %d boxes; now %d, %d and %d, after %d plays%n",
                f.refutedAtScenario(),
                c.foundEvents(),
                c.foundRequests(),
                c.foundBoxes(),
                c.scenario().faults().size(),
                c.scenario().asks().size(),
                c.scenario().site().boxes().size(),
                c.plays());
        System.out.println("  " + Story.fleet(c.scenario().site()));
        List<Story.Step> steps = Story.of(c.scenario(), f.expectation());
        int end = steps.size();
        while (end > 0 && !steps.get(end - 1).broken()) {
            end--;
        }
        int from = Math.max(0, end - MOST_STEPS);
        if (from > 0) {
            System.out.println("  the first " + from + " steps are left out here");
        }
        for (Story.Step step : steps.subList(from, end)) {
            System.out.printf(Locale.ROOT, "  %9.1f ms  %s%n", step.atMs(), step.text());
        }
        Path file = folder.resolve(f.expectation().name().replaceAll("[^A-Za-z0-9_-]+", "-") + ".trace.json");
        Files.createDirectories(folder);
        Files.writeString(file, check.trace(c));
        System.out.println("  replay it: barleyspur explain " + file);
        return json.put("trace", file.toString())
                .put("scenario", f.refutedAtScenario())
                .put("events", c.scenario().faults().size())
                .put("requests", c.scenario().asks().size())
                .put("boxes", c.scenario().site().boxes().size());
    }

    private static int diff(CommandLine line, List<String> files)
            throws Command.Unusable, Hcl.Invalid, Configuration.Invalid {
        String[] configs = line.getOptionValues("diff");
        Site before = ExpectationCheck.site(Path.of(configs[0]));
        Site after = ExpectationCheck.site(Path.of(configs[1]));
        ExpectationCheck check = ExpectationCheck.of(before, files, false);
        if (!before.classes().equals(after.classes()) || !before.zones().equals(after.zones())) {
            throw Command.Unusable.input(configs[1] + ": key settings."
                    + (before.classes().equals(after.classes())
                            ? "areas has other stations"
                            : "grades has other classes")
                    + " than " + configs[0]
                    + ": requests can't be compared");
        }
        Comparison.Result r = Comparison.of(
                before,
                after,
                check.loads(),
                check.cases(),
                Command.number(line, "seed", 1, 0, Long.MAX_VALUE / 64),
                check.book("", 0).depth(),
                more(line));
        for (Comparison.Difference d : r.first()) {
            System.out.printf(
                    Locale.ROOT,
                    "request %d at %.0f ms (%s, object %x, part %d): other %s%n  before: %s%n  after:  %s%n",
                    d.ask().number(),
                    d.ask().atMs(),
                    d.category(),
                    d.ask().object(),
                    d.ask().part(),
                    d.what(),
                    d.before(),
                    d.after());
        }
        System.out.printf(
                "%d of %d requests go another way in %d scenarios: %s%n",
                r.changed(), r.requests(), r.scenarios(), r.kinds());
        return r.changed() == 0 ? Command.OK : Command.FAILED;
    }

    private static int retell(CommandLine line) throws Command.Unusable, IOException {
        if (line.getArgList().size() != 1) {
            throw Command.Unusable.line("expected exactly one trace file");
        }
        String file = line.getArgList().get(0);
        Traces.Trace trace;
        try {
            trace = Traces.read(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw Command.Unusable.input(file + " can't be read: " + e.getMessage());
        } catch (Hcl.Invalid e) {
            throw Command.Unusable.input(e.getMessage());
        }
        System.out.println(Story.fleet(trace.scenario().site()));
        boolean broken = false;
        for (Story.Step step : Story.of(trace.scenario(), trace.expectation())) {
            System.out.printf(Locale.ROOT, "%9.1f ms  %s%n", step.atMs(), step.text());
            broken |= step.broken();
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
