package barleyspur.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.json.JSONArray;
import org.json.JSONObject;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** What a play came to: report.html with a plot of the views' sizes over time, and report.json. */
final class FleetRunReport {

    private FleetRunReport() {}

    static void write(
            Path folder, FaultSchedule schedule, MembershipMonitor watch, List<Double> times, List<double[]> traffic)
            throws IOException {
        Files.createDirectories(folder);
        plot(folder.resolve("views.png"), schedule, watch);
        if (!traffic.isEmpty()) {
            XYChart chart = new XYChartBuilder()
                    .width(1_000)
                    .height(300)
                    .title("traffic")
                    .xAxisTitle("seconds")
                    .yAxisTitle("bytes a second and member")
                    .build();
            chart.getStyler().setLegendVisible(false);
            chart.addSeries(
                            "bytes",
                            traffic.stream().mapToDouble(t -> t[0]).toArray(),
                            traffic.stream().mapToDouble(t -> t[1]).toArray())
                    .setMarker(SeriesMarkers.NONE);
            BitmapEncoder.saveBitmap(chart, folder.resolve("traffic.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        }
        JSONArray settled = new JSONArray();
        StringBuilder rows = new StringBuilder();
        int at = 0;
        String what = "the start";
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                at = row(rows, settled, what, times, at);
                what = "";
            }
            what += (what.isEmpty() ? "" : ", ") + step.fault();
        }
        row(rows, settled, what, times, at);
        JSONObject json = new JSONObject()
                .put("scenario", schedule.name())
                .put("doormans", schedule.initialDoormans())
                .put("seed", schedule.randomSeed())
                .put("period_ms", schedule.protocolPeriodMs())
                .put("settled", settled)
                .put("broken", new JSONArray(watch.broken()))
                .put("changes", watch.all().size());
        Files.writeString(folder.resolve("report.json"), json.toString(2) + "\n");
        StringBuilder broken = new StringBuilder();
        watch.broken().forEach(b -> broken.append("<li>").append(escaped(b)).append("</li>"));
        Files.writeString(
                folder.resolve("report.html"),
                "<!doctype html><meta charset=utf-8><title>"
                        + escaped(schedule.name()) + "</title><h1>" + escaped(schedule.name()) + "</h1><p>"
                        + schedule.initialDoormans()
                        + " doormans, period " + schedule.protocolPeriodMs() + " ms, seed " + schedule.randomSeed()
                        + "</p><p>"
                        + (watch.broken().isEmpty() ? "All promises kept." : "Broken promises:<ul>" + broken + "</ul>")
                        + "</p><h2>Members in each view</h2><img src=views.png>"
                        + (traffic.isEmpty() ? "" : "<h2>Traffic</h2><img src=traffic.png>")
                        + "<h2>Time to settle</h2><table border=1>"
                        + "<tr><th>after<th>seconds" + rows + "</table><h2>The scenario</h2><pre>"
                        + escaped(ScenarioFile.write(schedule)) + "</pre>\n");
        System.out.println("report: " + folder.resolve("report.html"));
    }

    private static int row(StringBuilder rows, JSONArray settled, String what, List<Double> times, int at) {
        if (at >= times.size()) {
            return at;
        }
        double seconds = times.get(at) / 1e3;
        rows.append("<tr><td>")
                .append(escaped(what))
                .append("<td>")
                .append(Double.isInfinite(seconds) ? "never" : String.format(Locale.ROOT, "%.2f", seconds));
        settled.put(new JSONObject()
                .put("after", what)
                .put("seconds", Double.isInfinite(seconds) ? JSONObject.NULL : seconds));
        return at + 1;
    }

    static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static void plot(Path file, FaultSchedule schedule, MembershipMonitor watch) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(500)
                .title(schedule.name())
                .xAxisTitle("seconds")
                .yAxisTitle("members in a view")
                .build();
        chart.getStyler().setLegendVisible(schedule.slotCount() <= 20);
        Map<Integer, List<Double>> xs = new HashMap<>();
        Map<Integer, List<Double>> ys = new HashMap<>();
        Map<Integer, Set<String>> views = new HashMap<>();
        for (MembershipMonitor.ReportedChange t : watch.all()) {
            Set<String> view = views.computeIfAbsent(t.process(), p -> new HashSet<>());
            if (t.kind().equals("Lost")) {
                view.remove(t.member());
            } else if (t.member() != null) {
                view.add(t.member());
            }
            xs.computeIfAbsent(t.process(), p -> new ArrayList<>()).add(t.atMs() / 1e3);
            ys.computeIfAbsent(t.process(), p -> new ArrayList<>()).add(view.size() + 1.0);
        }
        xs.forEach((process, x) -> {
            XYSeries series = chart.addSeries("process " + process, x, ys.get(process));
            series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Step).setMarker(SeriesMarkers.NONE);
        });
        if (!xs.isEmpty()) {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
