package barleyspur.lab;

import java.io.IOException;
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
    private static final String HELP = """
        usage: barleyspur-lab COMMAND [OPTIONS]
          scale    measure the decision module at 12, 1,000 and 10,000 boxes, with a plot
        barleyspur-lab COMMAND --help tells the options of each.
        """;

    private Lab() { }

    public static void main(String[] args) throws IOException {
        System.exit(run(args));
    }

    static int run(String[] args) throws IOException {
        String name = args.length == 0 ? "" : args[0];
        if (List.of("help", "--help", "-h").contains(name)) {
            System.out.print(HELP);
            return OK;
        }
        if (!name.equals("scale")) {
            System.err.println("barleyspur-lab: " + (name.isEmpty() ? "a command is missing" : "unknown command " + name));
            System.err.print(HELP);
            return USAGE;
        }
        Options options = new Options()
            .addOption(Option.builder().longOpt("seconds").hasArg().argName("N").desc("for each figure, 2").get())
            .addOption(Option.builder().longOpt("plot").hasArg().argName("FILE.png").desc("write a plot there").get())
            .addOption(Option.builder().longOpt("c1").desc("with the first compiler only, as the doorman runs").get())
            .addOption(Option.builder("h").longOpt("help").desc("print this").get());
        try {
            CommandLine line = new DefaultParser().parse(options, Arrays.copyOfRange(args, 1, args.length));
            if (line.hasOption("help")) {
                HelpFormatter.builder().setShowSince(false).get().printHelp("barleyspur-lab scale [OPTIONS]",
                    "Measure the decision module by the size of the fleet.", options, "", false);
                return OK;
            }
            int seconds = Integer.parseInt(line.getOptionValue("seconds", "2"));
            return scale(seconds, line.getOptionValue("plot"), line.hasOption("c1"));
        } catch (ParseException | NumberFormatException e) {
            System.err.println("barleyspur-lab: " + e.getMessage() + "; see barleyspur-lab scale --help");
            return USAGE;
        }
    }

    private static int scale(int seconds, String plot, boolean firstCompiler) throws IOException {
        List<String> jvm = new ArrayList<>(List.of("-XX:+UseSerialGC", "-Xmx512m"));
        if (firstCompiler) {
            jvm.add("-XX:TieredStopAtLevel=1");
        }
        ChainedOptionsBuilder options = new OptionsBuilder().include(DecisionScale.class.getSimpleName()).forks(1)
            .warmupIterations(2).warmupTime(TimeValue.seconds(seconds)).measurementIterations(3)
            .measurementTime(TimeValue.seconds(seconds)).addProfiler("gc").jvmArgs(jvm.toArray(String[]::new));
        Collection<RunResult> results;
        try {
            results = new Runner(options.build()).run();
        } catch (RunnerException e) {
            System.err.println("barleyspur-lab: " + e.getMessage());
            return FAILED;
        }
        if (plot != null) {
            plot(results, Path.of(plot));
        }
        return OK;
    }

    private static void plot(Collection<RunResult> results, Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(900).height(500).title("Decision module by size of the fleet")
            .xAxisTitle("boxes").yAxisTitle("microseconds").build();
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
