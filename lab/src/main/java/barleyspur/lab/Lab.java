package barleyspur.lab;

import barleyspur.config.Hcl;
import barleyspur.lab.fleet.BudgetLab;
import barleyspur.lab.fleet.FleetDemo;
import barleyspur.lab.fleet.FleetLab;
import barleyspur.lab.fleet.FleetMeasure;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** The command line of the laboratory, with its benchmarks and experiments. */
public final class Lab {

    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final String HELP =
            """
        usage: barleyspur-lab COMMAND [OPTIONS]
          scale        benchmark the decision module with 12, 1,000 and 10,000 boxes, optionally with a plot
          fleet run    run a schedule of faults against several doormans, as real processes or in virtual time
          fleet demo   run five doormans with fake boxes for a minute, and kill or disconnect some of the doormans
          fleet measure  measure the cost and the detection times of the fleet view by fleet size, in virtual time
          budget run   run budgets under a schedule of faults, with real processes or in virtual time
          budget measure  measure the utilisation, redistribution time and cost of budgets, in virtual time
          budget scale  benchmark a doorman's processor cost of 10, 1,000 and 5,000 budgets
          check budget  check the division of budgets exhaustively in a small model
          tier-replay  compare retention policies for the disk tier and Belady's bound on a synthetic trace
        Run barleyspur-lab COMMAND --help for the options of a command.
        """;

    private Lab() {}

    /** Runs the command that is given by the arguments. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    static int run(String[] args) throws IOException {
        String name = args.length == 0 ? "" : args[0];
        if (List.of("help", "--help", "-h").contains(name)) {
            System.out.print(HELP);
            return OK;
        }
        Options options = new Options()
                .addOption(value("plot", "FILE.png", "write a plot to this file"))
                .addOption(
                        Option.builder("h").longOpt("help").desc("print this").get());
        switch (name) {
            case "check" ->
                options = new Options()
                        .addOption(Option.builder("h")
                                .longOpt("help")
                                .desc("print this")
                                .get())
                        .addOption(value(
                                "faults",
                                "N",
                                "maximum number of faults, tried in all combinations; default 2"))
                        .addOption(value(
                                "steps",
                                "N",
                                "number of steps of 50 ms after the budget is first fully divided; default 14"))
                        .addOption(value(
                                "replay",
                                "STEP:FAULT:N ...",
                                "run only these faults, in the notation of a counterexample"));
            case "fleet", "budget" ->
                options = new Options()
                        .addOption(Option.builder("h")
                                .longOpt("help")
                                .desc("print this")
                                .get())
                        .addOption(Option.builder()
                                .longOpt("virtual")
                                .desc("run in virtual time")
                                .get())
                        .addOption(value(
                                "seeds",
                                "N",
                                "number of seeds to run in virtual time, from the seed of the file on; default 1"))
                        .addOption(value("sizes", "N,N,...", "fleet sizes to measure; default 3,14,100,1000"))
                        .addOption(value("minutes", "N", "virtual minutes for each row of false verdicts; default 60"))
                        .addOption(value("jar", "FILE", "jar of the doorman; default doorman/target/barleyspur.jar"))
                        .addOption(value("folder", "DIR", "folder for the logs and the report; default found/fleet"));
            case "scale" ->
                options.addOption(value("seconds", "N", "duration of each iteration; default 2"))
                        .addOption(Option.builder()
                                .longOpt("c1")
                                .desc("use the C1 compiler only, as the doorman does")
                                .get());
            case "tier-replay" ->
                options.addOption(value("days", "N", "number of days, at least 3; default 8"))
                        .addOption(value("requests", "N", "approximate number of requests a day; default 60000"))
                        .addOption(value(
                                "scan",
                                "PERCENT",
                                "of the requests during scans for one-time objects (3.7 to 19); default 10"))
                        .addOption(value("seed", "N", "seed of the trace; default 1"))
                        .addOption(value("mb", "N,N,...", "sizes of the store; default 500,1000,2000,4000,8000"));
            default -> {
                System.err.println(
                        "barleyspur-lab: " + (name.isEmpty() ? "a command is missing" : "unknown command " + name));
                System.err.print(HELP);
                return USAGE;
            }
        }
        try {
            CommandLine line = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
            if (line.hasOption("help")) {
                HelpFormatter.builder()
                        .setShowSince(false)
                        .get()
                        .printHelp(
                                "barleyspur-lab " + name
                                        + switch (name) {
                                            case "fleet" -> " run SCENARIO.hcl|demo|measure";
                                            case "budget" -> " run SCENARIO.hcl|measure|scale";
                                            case "check" -> " budget";
                                            default -> "";
                                        } + " [OPTIONS]",
                                switch (name) {
                                    case "scale" -> "Benchmark the decision module by the number of boxes.";
                                    case "fleet" ->
                                        "Run a schedule of faults against several doormans; see docs/FLEET.md.";
                                    case "budget" ->
                                        "Divide budgets among several doormans under faults; see docs/BUDGETS.md.";
                                    case "check" ->
                                        "Check a model of three doormans and a budget of two units exhaustively.";
                                    default -> "Replay a synthetic trace through retention policies for the disk tier.";
                                },
                                options,
                                "",
                                false);
                return OK;
            }
            if (name.equals("fleet")) {
                return fleet(line);
            }
            if (name.equals("budget")) {
                return budget(line);
            }
            if (name.equals("check")) {
                if (!line.getArgList().equals(List.of("budget"))) {
                    throw new IllegalArgumentException("expected budget, not " + String.join(" ", line.getArgList()));
                }
                return BudgetLab.check(
                                number(line, "steps", 14, 1),
                                number(line, "faults", 2, 0),
                                line.getOptionValue("replay"))
                        ? OK
                        : FAILED;
            }
            return name.equals("scale")
                    ? scale(number(line, "seconds", 2, 1), line.getOptionValue("plot"), line.hasOption("c1"))
                    : replay(line);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("barleyspur-lab: " + e.getMessage() + "; see barleyspur-lab " + name + " --help");
            return USAGE;
        }
    }

    private static Option value(String name, String value, String about) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(value)
                .desc(about)
                .get();
    }

    private static int number(CommandLine line, String option, int otherwise, int least) {
        return number(option, line.getOptionValue(option, Integer.toString(otherwise)), least);
    }

    private static int number(String option, String text, int least) {
        try {
            int number = Integer.parseInt(text.strip());
            if (number >= least) {
                return number;
            }
        } catch (NumberFormatException e) {
            // The exception below names the option.
        }
        throw new IllegalArgumentException("--" + option + " is not an integer of at least " + least + ": " + text);
    }

    private static int fleet(CommandLine line) throws IOException {
        List<String> words = line.getArgList();
        if (words.equals(List.of("measure"))) {
            List<Integer> sizes = new ArrayList<>();
            for (String n : line.getOptionValue("sizes", "3,14,100,1000").split(",")) {
                sizes.add(number("sizes", n, 3));
            }
            FleetMeasure.print(sizes);
            FleetMeasure.printVerdicts(14, number(line, "minutes", 60, 1));
            return OK;
        }
        if (words.equals(List.of("demo"))) {
            try {
                return FleetDemo.run(jar(line), Path.of(line.getOptionValue("folder", "found/demo"))) ? OK : FAILED;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return FAILED;
            }
        }
        if (words.size() != 2 || !words.get(0).equals("run")) {
            throw new IllegalArgumentException(
                    "expected run SCENARIO.hcl, demo or measure, not " + String.join(" ", words));
        }
        Path scenario = Path.of(words.get(1));
        Path folder = Path.of(line.getOptionValue("folder", "found/fleet"));
        int seeds = number(line, "seeds", 1, 1);
        try {
            return (line.hasOption("virtual")
                            ? FleetLab.virtual(scenario, seeds, folder)
                            : FleetLab.real(scenario, jar(line), folder))
                    ? OK
                    : FAILED;
        } catch (Hcl.Invalid e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return USAGE;
        }
    }

    private static int budget(CommandLine line) throws IOException {
        List<String> words = line.getArgList();
        if (words.equals(List.of("measure"))) {
            List<Integer> sizes = new ArrayList<>();
            for (String n : line.getOptionValue("sizes", "3,14,100").split(",")) {
                sizes.add(number("sizes", n, 3));
            }
            BudgetLab.measure(sizes);
            return OK;
        }
        if (words.equals(List.of("scale"))) {
            return bench(BudgetScale.class, 1, false) == null ? FAILED : OK;
        }
        if (words.size() != 2 || !words.get(0).equals("run")) {
            throw new IllegalArgumentException(
                    "expected run SCENARIO.hcl, measure or scale, not " + String.join(" ", words));
        }
        Path scenario = Path.of(words.get(1));
        Path folder = Path.of(line.getOptionValue("folder", "found/budget"));
        int seeds = number(line, "seeds", 1, 1);
        try {
            return (line.hasOption("virtual")
                            ? BudgetLab.virtual(scenario, seeds, folder)
                            : BudgetLab.real(scenario, jar(line), folder))
                    ? OK
                    : FAILED;
        } catch (Hcl.Invalid e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return USAGE;
        }
    }

    private static Path jar(CommandLine line) {
        Path jar = Path.of(line.getOptionValue("jar", "doorman/target/barleyspur.jar"));
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException("there is no " + jar + ": build it, or specify another file with --jar");
        }
        return jar;
    }

    private static int replay(CommandLine line) throws IOException {
        List<Integer> sizes = new ArrayList<>();
        for (String mb : line.getOptionValue("mb", "500,1000,2000,4000,8000").split(",")) {
            sizes.add(number("mb", mb, 1));
        }
        String plot = line.getOptionValue("plot");
        double scan = Double.parseDouble(line.getOptionValue("scan", "10"));
        if (!(scan >= 0 && scan <= 25)) {
            throw new IllegalArgumentException("--scan is not from 0 to 25: " + scan);
        }
        TierReplay.report(
                number(line, "days", 8, 3),
                number(line, "requests", 60_000, 100),
                scan / 100,
                number(line, "seed", 1, 0),
                sizes,
                plot == null ? null : Path.of(plot));
        return OK;
    }

    private static int scale(int seconds, String plot, boolean firstCompiler) throws IOException {
        Collection<RunResult> results = bench(DecisionScale.class, seconds, firstCompiler);
        if (results == null) {
            return FAILED;
        }
        if (plot != null) {
            plot(results, Path.of(plot));
        }
        return OK;
    }

    /** Runs a benchmark, which prints its results; returns them, or null if it failed. */
    private static Collection<RunResult> bench(Class<?> benchmark, int seconds, boolean firstCompiler) {
        List<String> jvm = new ArrayList<>(List.of("-XX:+UseSerialGC", "-Xmx512m"));
        if (firstCompiler) {
            jvm.add("-XX:TieredStopAtLevel=1");
        }
        ChainedOptionsBuilder options = new OptionsBuilder()
                .include(benchmark.getSimpleName())
                .forks(1)
                .warmupIterations(2)
                .warmupTime(TimeValue.seconds(seconds))
                .measurementIterations(3)
                .measurementTime(TimeValue.seconds(seconds))
                .addProfiler("gc")
                .jvmArgs(jvm.toArray(String[]::new));
        try {
            return new Runner(options.build()).run();
        } catch (RunnerException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return null;
        }
    }

    private static void plot(Collection<RunResult> results, Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(500)
                .title("Cost of the decision module by number of boxes")
                .xAxisTitle("boxes")
                .yAxisTitle("microseconds")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (String what : List.of("full", "delta", "requestWithOutcome")) {
            List<Double> boxes = new ArrayList<>();
            List<Double> micros = new ArrayList<>();
            for (RunResult r : results) {
                if (r.getParams().getBenchmark().endsWith("." + what)) {
                    boxes.add(Double.parseDouble(r.getParams().getParam("boxes")));
                    micros.add(r.getPrimaryResult().getScore());
                }
            }
            chart.addSeries(what, boxes, micros);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        System.out.println("plot: " + file);
    }
}
