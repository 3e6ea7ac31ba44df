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

/** The commands {@code budget run} and {@code budget measure}. */
public final class BudgetLab {

    static final double DRIFT = 0.01;
    private static final double PLOT_MS = 500;

    private BudgetLab() {}

    /** Plays a scenario with budgets on real processes; whether all promises were kept. */
    public static boolean real(Path scenario, Path jar, Path folder) throws Hcl.InvalidHclException, IOException {
        Schedule schedule = load(scenario);
        System.out.printf("%s: %d doormans, logs below %s%n", schedule.name(), schedule.started(), folder);
        try {
            BudgetFleet.Result r = BudgetFleet.play(schedule, jar, folder, System.out::println);
            r.rows().forEach(System.out::println);
            r.boxes()
                    .forEach((uid, t) -> System.out.printf(
                            Locale.ROOT,
                            "%-6s %6d arrived, %3d at once at most, %.1f over its " + "rate at most%n",
                            uid,
                            t.arrived(),
                            t.mostAtOnce(),
                            t.mostOverRate()));
            System.out.printf(
                    Locale.ROOT,
                    "divided anew %.1f s after the last fault; a process began to divide %d times%n",
                    r.anewMs() / 1e3,
                    r.shares().dividers());
            System.out.printf(
                    Locale.ROOT,
                    "a member sent %.0f bytes a second on average, %.0f at most; %d came to the young box%n",
                    r.traffic().stream().mapToDouble(t -> t[1]).average().orElse(0),
                    r.traffic().stream().mapToDouble(t -> t[1]).max().orElse(0),
                    r.young());
            report(folder, schedule, r);
            return FleetLab.judge(r.broken());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static Schedule load(Path scenario) throws Hcl.InvalidHclException {
        Schedule schedule = ScenarioFile.load(scenario);
        if (schedule.use() == null) {
            throw new Hcl.InvalidHclException(
                    scenario.toString(), 1, "has no block load { ... } and no budgets: fleet run plays it");
        }
        return schedule;
    }

    private static void report(Path folder, Schedule schedule, BudgetFleet.Result r) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(400)
                .title(schedule.name())
                .xAxisTitle("seconds")
                .yAxisTitle("part of the whole that is held")
                .build();
        JSONArray held = new JSONArray();
        for (String budget : new TreeMap<>(schedule.use().terms().budgets()).keySet()) {
            List<Double> xs = new ArrayList<>();
            List<Double> ys = new ArrayList<>();
            for (double t = 0; t + PLOT_MS <= r.endMs(); t += PLOT_MS) {
                double part = r.shares().held(budget, t, t + PLOT_MS);
                xs.add(t / 1e3);
                ys.add(Double.isNaN(part) ? 0 : part);
            }
            if (!xs.isEmpty()) {
                chart.addSeries(budget, xs, ys).setMarker(SeriesMarkers.NONE);
            }
            held.put(new JSONObject()
                    .put("budget", budget)
                    .put("every_ms", PLOT_MS)
                    .put("held", new JSONArray(ys)));
        }
        BitmapEncoder.saveBitmap(chart, folder.resolve("held.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        JSONArray boxes = new JSONArray();
        r.boxes()
                .forEach((uid, t) -> boxes.put(new JSONObject()
                        .put("box", uid)
                        .put("arrived", t.arrived())
                        .put("most_at_once", t.mostAtOnce())
                        .put("most_over_rate", t.mostOverRate())));
        StringBuilder struck = new StringBuilder();
        r.struck()
                .forEach(s -> struck.append(String.format(
                        Locale.ROOT,
                        "<tr><td>%.1f<td>%s",
                        s.atMs() / 1e3,
                        FleetReport.escaped(s.fault().toString()))));
        Files.writeString(
                folder.resolve("report.json"),
                new JSONObject()
                                .put("scenario", schedule.name())
                                .put("doormans", schedule.started())
                                .put("seed", schedule.seed())
                                .put("held", held)
                                .put("boxes", boxes)
                                .put(
                                        "bytes_a_second_and_member",
                                        new JSONArray(r.traffic().stream()
                                                .map(t -> t[1])
                                                .toList()))
                                .put("divided_anew_ms", Double.isInfinite(r.anewMs()) ? JSONObject.NULL : r.anewMs())
                                .put("broken", new JSONArray(r.broken()))
                                .toString(2)
                        + "\n");
        Files.writeString(
                folder.resolve("report.html"),
                "<!doctype html><meta charset=utf-8><title>" + FleetReport.escaped(schedule.name()) + "</title><h1>"
                        + FleetReport.escaped(schedule.name()) + "</h1><p>"
                        + (r.broken().isEmpty()
                                ? "All promises kept."
                                : "Broken: " + FleetReport.escaped(r.broken().toString()))
                        + "</p><img src=held.png>"
                        + "<h2>Faults</h2><table border=1><tr><th>second<th>fault" + struck
                        + "</table><h2>The scenario</h2><pre>"
                        + FleetReport.escaped(ScenarioFile.write(schedule)) + "</pre>\n");
        System.out.println("report: " + folder.resolve("report.html"));
    }

    /** Plays a scenario in virtual time from its seed on; the first seed that breaks a promise is shrunk and written. */
    public static boolean virtual(Path scenario, int seeds, Path folder) throws Hcl.InvalidHclException, IOException {
        Schedule schedule = load(scenario);
        long start = System.nanoTime();
        double usable = 0;
        for (int i = 0; i < seeds; i++) {
            Schedule played = schedule.with(schedule.seed() + i);
            BudgetWorld world = BudgetWorld.of(played, DRIFT);
            world.play();
            if (!world.broken().isEmpty()) {
                Schedule small = Shrinker.shrink(played, s -> {
                    BudgetWorld again = BudgetWorld.of(s, DRIFT);
                    again.play();
                    return !again.broken().isEmpty();
                });
                Files.createDirectories(folder);
                Path file = folder.resolve("broken-" + played.seed() + ".hcl");
                Files.writeString(file, ScenarioFile.write(small));
                System.out.printf(
                        "seed %d; shrunk from %d to %d steps; again: barleyspur-lab budget run %s --virtual%n",
                        played.seed(), played.steps().size(), small.steps().size(), file);
                return FleetLab.judge(world.broken());
            }
            usable += played.use().terms().budgets().keySet().stream()
                    .mapToDouble(world::usable)
                    .min()
                    .orElse(0);
        }
        System.out.printf(
                Locale.ROOT,
                "%s: %d seeds of %d doormans in %.1f s; at the end %.3f of the least held budget could be "
                        + "used on average%n",
                schedule.name(),
                seeds,
                schedule.started(),
                (System.nanoTime() - start) / 1e9,
                usable / seeds);
        return FleetLab.judge(List.of());
    }

    /**
     * Explores a small world with each kind of budget, or replays one schedule of it; whether nothing was broken.
     *
     * @param replay faults as a counterexample names them, or null
     */
    public static boolean check(int steps, int faults, String replay) {
        boolean good = true;
        for (BudgetKind kind : BudgetKind.values()) {
            BudgetChecker checker = new BudgetChecker(kind, steps);
            if (replay != null) {
                String broken = checker.play(BudgetChecker.parse(replay));
                System.out.printf("%s: %s%n", kind, broken == null ? "not over the whole" : "BROKEN " + broken);
                good &= broken == null;
                continue;
            }
            long start = System.nanoTime();
            BudgetChecker.Result r = checker.explore(faults);
            System.out.printf(
                    Locale.ROOT,
                    "%s: %d schedules of up to %d faults in %d steps, %d steps played, %d different states "
                            + "after the last fault, %.1f s: %s%n",
                    kind,
                    r.schedules(),
                    faults,
                    steps,
                    r.steps(),
                    r.states(),
                    (System.nanoTime() - start) / 1e9,
                    r.broken() == null ? "never over the whole" : "BROKEN " + r.broken());
            if (r.broken() != null) {
                StringBuilder again = new StringBuilder();
                r.counterexample()
                        .forEach(p -> again.append(again.isEmpty() ? "" : " ").append(p));
                System.out.println(
                        "  again: barleyspur-lab check budget --steps " + steps + " --replay \"" + again + "\"");
            }
            good &= r.broken() == null;
        }
        return good;
    }

    /** Prints what is found by size and kind of load, in virtual time. */
    public static void measure(List<Integer> sizes) {
        BudgetMeasure.print(sizes.stream().sorted(Comparator.naturalOrder()).toList());
    }
}
