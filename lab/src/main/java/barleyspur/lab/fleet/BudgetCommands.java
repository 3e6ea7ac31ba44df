package barleyspur.lab.fleet;

import barleyspur.budget.BudgetKind;
import barleyspur.config.Hcl;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The commands {@code budget run}, {@code budget measure} and {@code check budget}. */
public final class BudgetCommands {

    /** Largest deviation of a simulated clock's rate from 1. */
    static final double MAX_CLOCK_DRIFT = 0.01;

    private static final double PLOT_INTERVAL_MS = 500;

    private BudgetCommands() {}

    /**
     * Runs a scenario with budgets on real processes and writes a report.
     *
     * @return whether all invariants held
     * @throws Hcl.InvalidHclException where the scenario can't be used
     */
    public static boolean runProcesses(Path scenario, Path jar, Path folder)
            throws Hcl.InvalidHclException, IOException {
        FaultSchedule schedule = loadWithBudgets(scenario);
        System.out.printf("%s: %d doormans, logs below %s%n", schedule.name(), schedule.initialDoormans(), folder);
        try {
            BudgetProcessRun.RunResult result = BudgetProcessRun.run(schedule, jar, folder, System.out::println);
            result.clientRows().forEach(System.out::println);
            result.tallyByBox()
                    .forEach((uid, tally) -> System.out.printf(
                            Locale.ROOT,
                            "%-6s %6d arrived, at most %3d concurrent, at most %.1f " + "over its rate%n",
                            uid,
                            tally.arrivals(),
                            tally.peakConcurrency(),
                            tally.maxOverRate()));
            System.out.printf(
                    Locale.ROOT,
                    "capacities leased again %.1f s after the last fault; a process became the coordinator %d times%n",
                    result.reassignedAfterMs() / 1e3,
                    result.budgetMonitor().coordinatorCount());
            System.out.printf(
                    Locale.ROOT,
                    "a member sent %.0f bytes/s on average, at most %.0f; "
                            + "%d arrived at the box that had just started%n",
                    result.trafficSamples().stream()
                            .mapToDouble(t -> t[1])
                            .average()
                            .orElse(0),
                    result.trafficSamples().stream()
                            .mapToDouble(t -> t[1])
                            .max()
                            .orElse(0),
                    result.arrivalsWhileWarmingUp());
            writeReport(folder, schedule, result);
            return FleetRunCommand.printViolations(result.violations());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static FaultSchedule loadWithBudgets(Path scenario) throws Hcl.InvalidHclException {
        FaultSchedule schedule = ScenarioFile.load(scenario);
        if (schedule.workload() == null) {
            throw new Hcl.InvalidHclException(
                    scenario.toString(), 1, "has no block load { ... } and no budgets: use the command fleet run");
        }
        return schedule;
    }

    private static void writeReport(Path folder, FaultSchedule schedule, BudgetProcessRun.RunResult result)
            throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(400)
                .title(schedule.name())
                .xAxisTitle("seconds")
                .yAxisTitle("leased part of the capacity")
                .build();
        JSONArray held = new JSONArray();
        for (String budget : new TreeMap<>(schedule.workload().config().budgets()).keySet()) {
            List<Double> seconds = new ArrayList<>();
            List<Double> fractions = new ArrayList<>();
            for (double t = 0; t + PLOT_INTERVAL_MS <= result.endMs(); t += PLOT_INTERVAL_MS) {
                double leasedFraction = result.budgetMonitor().leasedFraction(budget, t, t + PLOT_INTERVAL_MS);
                seconds.add(t / 1e3);
                fractions.add(Double.isNaN(leasedFraction) ? 0 : leasedFraction);
            }
            if (!seconds.isEmpty()) {
                chart.addSeries(budget, seconds, fractions).setMarker(SeriesMarkers.NONE);
            }
            held.put(new JSONObject()
                    .put("budget", budget)
                    .put("every_ms", PLOT_INTERVAL_MS)
                    .put("held", new JSONArray(fractions)));
        }
        BitmapEncoder.saveBitmap(chart, folder.resolve("held.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        JSONArray boxes = new JSONArray();
        result.tallyByBox()
                .forEach((uid, tally) -> boxes.put(new JSONObject()
                        .put("box", uid)
                        .put("arrived", tally.arrivals())
                        .put("most_at_once", tally.peakConcurrency())
                        .put("most_over_rate", tally.maxOverRate())));
        StringBuilder faultRows = new StringBuilder();
        result.injectedFaults()
                .forEach(s -> faultRows.append(String.format(
                        Locale.ROOT,
                        "<tr><td>%.1f<td>%s",
                        s.timeMs() / 1e3,
                        FleetRunReport.escapeHtml(s.fault().toString()))));
        Files.writeString(
                folder.resolve("report.json"),
                new JSONObject()
                                .put("scenario", schedule.name())
                                .put("doormans", schedule.initialDoormans())
                                .put("seed", schedule.randomSeed())
                                .put("held", held)
                                .put("boxes", boxes)
                                .put(
                                        "bytes_a_second_and_member",
                                        new JSONArray(result.trafficSamples().stream()
                                                .map(t -> t[1])
                                                .toList()))
                                .put(
                                        "divided_anew_ms",
                                        Double.isInfinite(result.reassignedAfterMs())
                                                ? JSONObject.NULL
                                                : result.reassignedAfterMs())
                                .put("broken", new JSONArray(result.violations()))
                                .toString(2)
                        + "\n");
        Files.writeString(
                folder.resolve("report.html"),
                "<!doctype html><meta charset=utf-8><title>" + FleetRunReport.escapeHtml(schedule.name())
                        + "</title><h1>"
                        + FleetRunReport.escapeHtml(schedule.name()) + "</h1><p>"
                        + (result.violations().isEmpty()
                                ? "All invariants held."
                                : "Violations: "
                                        + FleetRunReport.escapeHtml(
                                                result.violations().toString()))
                        + "</p><img src=held.png>"
                        + "<h2>Faults</h2><table border=1><tr><th>second<th>fault" + faultRows
                        + "</table><h2>The scenario</h2><pre>"
                        + FleetRunReport.escapeHtml(ScenarioFile.write(schedule)) + "</pre>\n");
        System.out.println("report: " + folder.resolve("report.html"));
    }

    /**
     * Runs a scenario in virtual time with consecutive seeds. The schedule of the first seed that violates an
     * invariant is shrunk and written to a file.
     *
     * @return whether all invariants held
     */
    public static boolean runSimulations(Path scenario, int seeds, Path folder)
            throws Hcl.InvalidHclException, IOException {
        FaultSchedule schedule = loadWithBudgets(scenario);
        long startNanos = System.nanoTime();
        double usableSum = 0;
        for (int i = 0; i < seeds; i++) {
            FaultSchedule seeded = schedule.with(schedule.randomSeed() + i);
            BudgetSimulation simulation = BudgetSimulation.forSchedule(seeded, MAX_CLOCK_DRIFT);
            simulation.run();
            if (!simulation.violations().isEmpty()) {
                FaultSchedule shrunk = Shrinker.shrink(seeded, s -> {
                    BudgetSimulation candidate = BudgetSimulation.forSchedule(s, MAX_CLOCK_DRIFT);
                    candidate.run();
                    return !candidate.violations().isEmpty();
                });
                Files.createDirectories(folder);
                Path file = folder.resolve("broken-" + seeded.randomSeed() + ".hcl");
                Files.writeString(file, ScenarioFile.write(shrunk));
                System.out.printf(
                        "seed %d; shrunk from %d to %d steps; replay: barleyspur-lab budget run %s --virtual%n",
                        seeded.randomSeed(),
                        seeded.steps().size(),
                        shrunk.steps().size(),
                        file);
                return FleetRunCommand.printViolations(simulation.violations());
            }
            usableSum += seeded.workload().config().budgets().keySet().stream()
                    .mapToDouble(simulation::usableFraction)
                    .min()
                    .orElse(0);
        }
        System.out.printf(
                Locale.ROOT,
                "%s: %d seeds of %d doormans in %.1f s; at the end %.3f of the least available budget could be "
                        + "used on average%n",
                schedule.name(),
                seeds,
                schedule.initialDoormans(),
                (System.nanoTime() - startNanos) / 1e9,
                usableSum / seeds);
        return FleetRunCommand.printViolations(List.of());
    }

    /**
     * Explores a small model with each kind of budget, or replays one schedule of it.
     *
     * @param replay faults as a counterexample prints them, or null
     * @return whether no violation was found
     */
    public static boolean checkModel(int steps, int faults, String replay) {
        boolean passed = true;
        for (BudgetKind kind : BudgetKind.values()) {
            BudgetModelChecker checker = new BudgetModelChecker(kind, steps);
            if (replay != null) {
                String violation = checker.run(BudgetModelChecker.parse(replay));
                System.out.printf("%s: %s%n", kind, violation == null ? "no violation" : "BROKEN " + violation);
                passed &= violation == null;
                continue;
            }
            long startNanos = System.nanoTime();
            BudgetModelChecker.ExplorationResult result = checker.explore(faults);
            System.out.printf(
                    Locale.ROOT,
                    "%s: %d schedules of up to %d faults in %d steps, %d steps played, %d different states "
                            + "after the last fault, %.1f s: %s%n",
                    kind,
                    result.schedules(),
                    faults,
                    steps,
                    result.steps(),
                    result.states(),
                    (System.nanoTime() - startNanos) / 1e9,
                    result.violation() == null ? "never over the whole" : "BROKEN " + result.violation());
            if (result.violation() != null) {
                StringBuilder replayArgument = new StringBuilder();
                result.counterexample().forEach(p -> replayArgument
                        .append(replayArgument.isEmpty() ? "" : " ")
                        .append(p));
                System.out.println("  replay: barleyspur-lab check budget --steps " + steps + " --replay \""
                        + replayArgument + "\"");
            }
            passed &= result.violation() == null;
        }
        return passed;
    }

    /** Prints measurements by size of the fleet and kind of load, in virtual time. */
    public static void printMeasurements(List<Integer> sizes) {
        BudgetMeasurement.print(sizes.stream().sorted(Comparator.naturalOrder()).toList());
    }
}
