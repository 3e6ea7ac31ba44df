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

/** The laboratory's commands. */
public final class Lab {

    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;
    private static final String HELP =
            """
        usage: barleyspur-lab COMMAND [OPTIONS]
          scale        measure the decision module at 12, 1,000 and 10,000 boxes, with a plot
          fleet run    play a schedule of faults on several doormans: real processes, or in virtual time
          fleet demo   a station of stand-ins and five doormans, some of them killed and cut off, for a minute
          fleet measure  what the fleet view costs and how soon it knows, by size, in virtual time
          budget run   play budgets under a schedule of faults: real processes, boxes and clients, or in virtual time
          budget measure  how much of a whole is used, how soon it is divided anew and what that costs, in virtual time
          budget scale  what a take and a second of a doorman cost at 10, 1,000 and 5,000 budgets
          check budget  explore the division of budgets on a small world without leaving anything out
          tier-replay  replay generated days through policies for the disk tier, against Belady's bound, with a plot
        barleyspur-lab COMMAND --help tells the options of each.
        """;

    private Lab() {}

    /** Runs the command that the arguments name. */
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
                .addOption(value("plot", "FILE.png", "write a plot there"))
                .addOption(
                        Option.builder("h").longOpt("help").desc("print this").get());
        switch (name) {
            case "check" ->
                options = new Options()
                        .addOption(Option.builder("h")
                                .longOpt("help")
                                .desc("print this")
                                .get())
                        .addOption(value("faults", "N", "at most, placed in every way; 2"))
                        .addOption(value("steps", "N", "of 50 ms after all is divided for the first time; 14"))
                        .addOption(value(
                                "replay",
                                "STEP:FAULT:N ...",
                                "play these faults only, as a counterexample names them"));
            case "fleet", "budget" ->
                options = new Options()
                        .addOption(Option.builder("h")
                                .longOpt("help")
                                .desc("print this")
                                .get())
                        .addOption(Option.builder()
                                .longOpt("virtual")
                                .desc("in virtual time")
                                .get())
                        .addOption(value("seeds", "N", "in virtual time: so many seeds, from the file's on; 1"))
                        .addOption(value("sizes", "N,N,...", "of fleets to measure; 3,14,100,1000"))
                        .addOption(value("minutes", "N", "for each row of false verdicts; 60"))
                        .addOption(value("jar", "FILE", "the doorman; doorman/target/barleyspur.jar"))
                        .addOption(value("folder", "DIR", "for logs and the report; found/fleet"));
            case "scale" ->
                options.addOption(value("seconds", "N", "for each figure, 2"))
                        .addOption(Option.builder()
                                .longOpt("c1")
                                .desc("with the first compiler only, as the doorman runs")
                                .get());
            case "tier-replay" ->
                options.addOption(value("days", "N", "how many, from 3 on; 8"))
                        .addOption(value("requests", "N", "a day, roughly; 60000"))
                        .addOption(value("scan", "PERCENT", "of the requests during scans, 3.7 to 19; 10"))
                        .addOption(value("seed", "N", "of the days, 1"))
                        .addOption(value("mb", "N,N,...", "sizes of the store; 500,1000,2000,4000,8000"));
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
                                    case "scale" -> "Measure the decision module by the size of the fleet.";
                                    case "fleet" ->
                                        "Play a schedule of faults on several doormans; docs/FLEET.md has the language.";
                                    case "budget" ->
                                        "Divide budgets among several doormans under faults; docs/BUDGETS.md.";
                                    case "check" ->
                                        "Explore a small world of three doormans and a budget of two units.";
                                    default -> "Replay generated days through policies for the disk tier.";
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
                    throw new IllegalArgumentException("budget was wanted, not " + String.join(" ", line.getArgList()));
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
            // Said below, with the option.
        }
        throw new IllegalArgumentException("--" + option + " is not a whole number from " + least + " on: " + text);
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
                    "run SCENARIO.hcl, demo or measure was wanted, not " + String.join(" ", words));
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
        } catch (Hcl.InvalidHclException e) {
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
                    "run SCENARIO.hcl, measure or scale was wanted, not " + String.join(" ", words));
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
        } catch (Hcl.InvalidHclException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return USAGE;
        }
    }

    private static Path jar(CommandLine line) {
        Path jar = Path.of(line.getOptionValue("jar", "doorman/target/barleyspur.jar"));
        if (!Files.isReadable(jar)) {
            throw new IllegalArgumentException("there is no " + jar + ": build it, or name it with --jar");
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

    /** The results of a benchmark, which it prints; null where it failed. */
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
                .title("Decision module by size of the fleet")
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
