package barleyspur.lab;

import barleyspur.config.Hcl;
import barleyspur.lab.fleet.BudgetCommands;
import barleyspur.lab.fleet.FleetDemo;
import barleyspur.lab.fleet.FleetMeasurement;
import barleyspur.lab.fleet.FleetRunCommand;
import barleyspur.lab.soak.SoakCommand;
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
          soak         run a doorman through restarts, upgrades, drains and reloads, by seeds, and check every answer
          tier-replay  compare retention policies for the disk tier and Belady's bound on a synthetic trace
        Run barleyspur-lab COMMAND --help for the options of a command.
        """;

    private Lab() {}

    /** Runs the command that is given by the arguments. */
    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    static int run(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        if (List.of("help", "--help", "-h").contains(command)) {
            System.out.print(HELP);
            return OK;
        }
        Options options = new Options()
                .addOption(optionWithValue("plot", "FILE.png", "write a plot to this file"))
                .addOption(
                        Option.builder("h").longOpt("help").desc("print this").get());
        switch (command) {
            case "check" ->
                options = new Options()
                        .addOption(Option.builder("h")
                                .longOpt("help")
                                .desc("print this")
                                .get())
                        .addOption(optionWithValue(
                                "faults", "N", "maximum number of faults, tried in all combinations; default 2"))
                        .addOption(optionWithValue(
                                "steps",
                                "N",
                                "number of steps of 50 ms after the budget is first fully divided; default 14"))
                        .addOption(optionWithValue(
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
                        .addOption(optionWithValue(
                                "seeds",
                                "N",
                                "number of seeds to run in virtual time, from the seed of the file on; default 1"))
                        .addOption(optionWithValue("sizes", "N,N,...", "fleet sizes to measure; default 3,14,100,1000"))
                        .addOption(optionWithValue(
                                "minutes", "N", "virtual minutes for each row of false verdicts; default 60"))
                        .addOption(optionWithValue(
                                "jar", "FILE", "jar of the doorman; default doorman/target/barleyspur.jar"))
                        .addOption(optionWithValue(
                                "folder", "DIR", "folder for the logs and the report; default found/fleet"));
            case "soak" ->
                options.addOption(optionWithValue("seed", "N", "the first seed; default 1"))
                        .addOption(optionWithValue("seeds", "COUNT", "number of seeds; default 1"))
                        .addOption(optionWithValue("seconds", "S", "about how long a run takes; default 15"))
                        .addOption(optionWithValue("jar", "FILE", "jar of the doorman; default the deployment's"))
                        .addOption(optionWithValue("folder", "DIR", "folder for the logs; default found/soak"));
            case "scale" ->
                options.addOption(optionWithValue("seconds", "N", "duration of each iteration; default 2"))
                        .addOption(Option.builder()
                                .longOpt("c1")
                                .desc("use the C1 compiler only, as the doorman does")
                                .get());
            case "tier-replay" ->
                options.addOption(optionWithValue("days", "N", "number of days, at least 3; default 8"))
                        .addOption(
                                optionWithValue("requests", "N", "approximate number of requests a day; default 60000"))
                        .addOption(optionWithValue(
                                "scan",
                                "PERCENT",
                                "of the requests during scans for one-time objects (3.7 to 19); default 10"))
                        .addOption(optionWithValue("seed", "N", "seed of the trace; default 1"))
                        .addOption(optionWithValue(
                                "mb", "N,N,...", "sizes of the store; default 500,1000,2000,4000,8000"));
            default -> {
                System.err.println("barleyspur-lab: "
                        + (command.isEmpty() ? "a command is missing" : "unknown command " + command));
                System.err.print(HELP);
                return USAGE;
            }
        }
        try {
            CommandLine commandLine = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
            if (commandLine.hasOption("help")) {
                HelpFormatter.builder()
                        .setShowSince(false)
                        .get()
                        .printHelp(
                                "barleyspur-lab " + command
                                        + switch (command) {
                                            case "fleet" -> " run SCENARIO.hcl|demo|measure";
                                            case "budget" -> " run SCENARIO.hcl|measure|scale";
                                            case "check" -> " budget";
                                            default -> "";
                                        } + " [OPTIONS]",
                                switch (command) {
                                    case "scale" -> "Benchmark the decision module by the number of boxes.";
                                    case "fleet" ->
                                        "Run a schedule of faults against several doormans; see docs/FLEET.md.";
                                    case "budget" ->
                                        "Divide budgets among several doormans under faults; see docs/BUDGETS.md.";
                                    case "check" ->
                                        "Check a model of three doormans and a budget of two units exhaustively.";
                                    case "soak" ->
                                        "Run a doorman through restarts, upgrades, drains and reloads; see docs/SOAK.md.";
                                    default -> "Replay a synthetic trace through retention policies for the disk tier.";
                                },
                                options,
                                "",
                                false);
                return OK;
            }
            if (command.equals("fleet")) {
                return runFleet(commandLine);
            }
            if (command.equals("budget")) {
                return runBudget(commandLine);
            }
            if (command.equals("soak")) {
                return runSoak(commandLine);
            }
            if (command.equals("check")) {
                if (!commandLine.getArgList().equals(List.of("budget"))) {
                    throw new IllegalArgumentException(
                            "expected budget, not " + String.join(" ", commandLine.getArgList()));
                }
                return BudgetCommands.checkModel(
                                parseInteger(commandLine, "steps", 14, 1),
                                parseInteger(commandLine, "faults", 2, 0),
                                commandLine.getOptionValue("replay"))
                        ? OK
                        : FAILED;
            }
            return command.equals("scale")
                    ? runScale(
                            parseInteger(commandLine, "seconds", 2, 1),
                            commandLine.getOptionValue("plot"),
                            commandLine.hasOption("c1"))
                    : runTierReplay(commandLine);
        } catch (ParseException | IllegalArgumentException e) {
            System.err.println("barleyspur-lab: " + e.getMessage() + "; see barleyspur-lab " + command + " --help");
            return USAGE;
        }
    }

    private static Option optionWithValue(String name, String valueName, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(valueName)
                .desc(description)
                .get();
    }

    private static int parseInteger(CommandLine commandLine, String option, int defaultValue, int minimum) {
        return parseInteger(option, commandLine.getOptionValue(option, Integer.toString(defaultValue)), minimum);
    }

    private static int parseInteger(String option, String text, int minimum) {
        try {
            int number = Integer.parseInt(text.strip());
            if (number >= minimum) {
                return number;
            }
        } catch (NumberFormatException e) {
            // The exception below names the option.
        }
        throw new IllegalArgumentException("--" + option + " is not an integer of at least " + minimum + ": " + text);
    }

    private static int runFleet(CommandLine commandLine) throws IOException {
        List<String> arguments = commandLine.getArgList();
        if (arguments.equals(List.of("measure"))) {
            List<Integer> sizes = new ArrayList<>();
            for (String size :
                    commandLine.getOptionValue("sizes", "3,14,100,1000").split(",")) {
                sizes.add(parseInteger("sizes", size, 3));
            }
            FleetMeasurement.print(sizes);
            FleetMeasurement.printFalsePositives(14, parseInteger(commandLine, "minutes", 60, 1));
            return OK;
        }
        if (arguments.equals(List.of("demo"))) {
            try {
                return FleetDemo.run(
                                doormanJar(commandLine), Path.of(commandLine.getOptionValue("folder", "found/demo")))
                        ? OK
                        : FAILED;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return FAILED;
            }
        }
        if (arguments.size() != 2 || !arguments.get(0).equals("run")) {
            throw new IllegalArgumentException(
                    "expected run SCENARIO.hcl, demo or measure, not " + String.join(" ", arguments));
        }
        Path scenario = Path.of(arguments.get(1));
        Path folder = Path.of(commandLine.getOptionValue("folder", "found/fleet"));
        int seeds = parseInteger(commandLine, "seeds", 1, 1);
        try {
            return (commandLine.hasOption("virtual")
                            ? FleetRunCommand.runSimulations(scenario, seeds, folder)
                            : FleetRunCommand.runProcesses(scenario, doormanJar(commandLine), folder))
                    ? OK
                    : FAILED;
        } catch (Hcl.InvalidHclException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return USAGE;
        }
    }

    private static int runBudget(CommandLine commandLine) throws IOException {
        List<String> arguments = commandLine.getArgList();
        if (arguments.equals(List.of("measure"))) {
            List<Integer> sizes = new ArrayList<>();
            for (String size : commandLine.getOptionValue("sizes", "3,14,100").split(",")) {
                sizes.add(parseInteger("sizes", size, 3));
            }
            BudgetCommands.printMeasurements(sizes);
            return OK;
        }
        if (arguments.equals(List.of("scale"))) {
            return runBenchmark(BudgetScale.class, 1, false) == null ? FAILED : OK;
        }
        if (arguments.size() != 2 || !arguments.get(0).equals("run")) {
            throw new IllegalArgumentException(
                    "expected run SCENARIO.hcl, measure or scale, not " + String.join(" ", arguments));
        }
        Path scenario = Path.of(arguments.get(1));
        Path folder = Path.of(commandLine.getOptionValue("folder", "found/budget"));
        int seeds = parseInteger(commandLine, "seeds", 1, 1);
        try {
            return (commandLine.hasOption("virtual")
                            ? BudgetCommands.runSimulations(scenario, seeds, folder)
                            : BudgetCommands.runProcesses(scenario, doormanJar(commandLine), folder))
                    ? OK
                    : FAILED;
        } catch (Hcl.InvalidHclException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return USAGE;
        }
    }

    private static int runSoak(CommandLine commandLine) throws IOException {
        Path jar = commandLine.hasOption("jar") ? doormanJar(commandLine).toAbsolutePath() : null;
        try {
            return SoakCommand.run(new SoakCommand.Request(
                                    parseInteger(commandLine, "seed", 1, 0),
                                    parseInteger(commandLine, "seeds", 1, 1),
                                    parseInteger(commandLine, "seconds", 15, 1),
                                    Path.of(""),
                                    jar,
                                    null,
                                    Path.of(commandLine.getOptionValue("folder", "found/soak"))))
                            .isEmpty()
                    ? OK
                    : FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    private static Path doormanJar(CommandLine commandLine) {
        Path jar = Path.of(commandLine.getOptionValue("jar", "doorman/target/barleyspur.jar"));
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException("there is no " + jar + ": build it, or specify another file with --jar");
        }
        return jar;
    }

    private static int runTierReplay(CommandLine commandLine) throws IOException {
        List<Integer> sizes = new ArrayList<>();
        for (String mb :
                commandLine.getOptionValue("mb", "500,1000,2000,4000,8000").split(",")) {
            sizes.add(parseInteger("mb", mb, 1));
        }
        String plot = commandLine.getOptionValue("plot");
        double scanPercent = Double.parseDouble(commandLine.getOptionValue("scan", "10"));
        if (!(scanPercent >= 0 && scanPercent <= 25)) {
            throw new IllegalArgumentException("--scan is not from 0 to 25: " + scanPercent);
        }
        TierReplay.report(
                parseInteger(commandLine, "days", 8, 3),
                parseInteger(commandLine, "requests", 60_000, 100),
                scanPercent / 100,
                parseInteger(commandLine, "seed", 1, 0),
                sizes,
                plot == null ? null : Path.of(plot));
        return OK;
    }

    private static int runScale(int secondsPerIteration, String plot, boolean c1Only) throws IOException {
        Collection<RunResult> results = runBenchmark(DecisionScale.class, secondsPerIteration, c1Only);
        if (results == null) {
            return FAILED;
        }
        if (plot != null) {
            writePlot(results, Path.of(plot));
        }
        return OK;
    }

    /** Runs a benchmark, which prints its results; returns them, or null if it failed. */
    private static Collection<RunResult> runBenchmark(Class<?> benchmark, int secondsPerIteration, boolean c1Only) {
        List<String> jvmArguments = new ArrayList<>(List.of("-XX:+UseSerialGC", "-Xmx512m"));
        if (c1Only) {
            jvmArguments.add("-XX:TieredStopAtLevel=1");
        }
        ChainedOptionsBuilder options = new OptionsBuilder()
                .include(benchmark.getSimpleName())
                .forks(1)
                .warmupIterations(2)
                .warmupTime(TimeValue.seconds(secondsPerIteration))
                .measurementIterations(3)
                .measurementTime(TimeValue.seconds(secondsPerIteration))
                .addProfiler("gc")
                .jvmArgs(jvmArguments.toArray(String[]::new));
        try {
            return new Runner(options.build()).run();
        } catch (RunnerException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return null;
        }
    }

    private static void writePlot(Collection<RunResult> results, Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(500)
                .title("Cost of the decision module by number of boxes")
                .xAxisTitle("boxes")
                .yAxisTitle("microseconds")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (String operation : List.of("full", "delta", "requestWithOutcome")) {
            List<Double> boxes = new ArrayList<>();
            List<Double> micros = new ArrayList<>();
            for (RunResult result : results) {
                if (result.getParams().getBenchmark().endsWith("." + operation)) {
                    boxes.add(Double.parseDouble(result.getParams().getParam("boxes")));
                    micros.add(result.getPrimaryResult().getScore());
                }
            }
            chart.addSeries(operation, boxes, micros);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        System.out.println("plot: " + file);
    }
}
