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

/** Writes the report of a run: report.html with a plot of the sizes of the views over time, and report.json. */
final class FleetRunReport {

    private FleetRunReport() {}

    /** Writes the report's files to a folder; without traffic samples the report has no plot of the traffic. */
    static void write(
            Path folder,
            FaultSchedule schedule,
            MembershipMonitor monitor,
            List<Double> settleTimesMs,
            List<double[]> trafficSamples)
            throws IOException {
        Files.createDirectories(folder);
        plotViewSizes(folder.resolve("views.png"), schedule, monitor);
        if (!trafficSamples.isEmpty()) {
            XYChart chart = new XYChartBuilder()
                    .width(1_000)
                    .height(300)
                    .title("traffic")
                    .xAxisTitle("seconds")
                    .yAxisTitle("bytes per second and member")
                    .build();
            chart.getStyler().setLegendVisible(false);
            chart.addSeries(
                            "bytes",
                            trafficSamples.stream().mapToDouble(t -> t[0]).toArray(),
                            trafficSamples.stream().mapToDouble(t -> t[1]).toArray())
                    .setMarker(SeriesMarkers.NONE);
            BitmapEncoder.saveBitmap(chart, folder.resolve("traffic.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        }
        JSONArray settled = new JSONArray();
        StringBuilder rows = new StringBuilder();
        int index = 0;
        String faults = "the start";
        for (FaultSchedule.Step step : schedule.steps()) {
            if (step.awaitSettled()) {
                index = appendRow(rows, settled, faults, settleTimesMs, index);
                faults = "";
            }
            faults += (faults.isEmpty() ? "" : ", ") + step.fault();
        }
        appendRow(rows, settled, faults, settleTimesMs, index);
        JSONObject json = new JSONObject()
                .put("scenario", schedule.name())
                .put("doormans", schedule.initialDoormans())
                .put("seed", schedule.randomSeed())
                .put("period_ms", schedule.protocolPeriodMs())
                .put("settled", settled)
                .put("broken", new JSONArray(monitor.violations()))
                .put("changes", monitor.allChanges().size());
        Files.writeString(folder.resolve("report.json"), json.toString(2) + "\n");
        StringBuilder violationItems = new StringBuilder();
        monitor.violations()
                .forEach(
                        b -> violationItems.append("<li>").append(escapeHtml(b)).append("</li>"));
        Files.writeString(
                folder.resolve("report.html"),
                "<!doctype html><meta charset=utf-8><title>"
                        + escapeHtml(schedule.name()) + "</title><h1>" + escapeHtml(schedule.name()) + "</h1><p>"
                        + schedule.initialDoormans()
                        + " doormans, period " + schedule.protocolPeriodMs() + " ms, seed " + schedule.randomSeed()
                        + "</p><p>"
                        + (monitor.violations().isEmpty()
                                ? "All invariants held."
                                : "Violations:<ul>" + violationItems + "</ul>")
                        + "</p><h2>Members in each view</h2><img src=views.png>"
                        + (trafficSamples.isEmpty() ? "" : "<h2>Traffic</h2><img src=traffic.png>")
                        + "<h2>Time to settle</h2><table border=1>"
                        + "<tr><th>after<th>seconds" + rows + "</table><h2>The scenario</h2><pre>"
                        + escapeHtml(ScenarioFile.write(schedule)) + "</pre>\n");
        System.out.println("report: " + folder.resolve("report.html"));
    }

    private static int appendRow(
            StringBuilder rows, JSONArray settled, String faults, List<Double> settleTimesMs, int index) {
        if (index >= settleTimesMs.size()) {
            return index;
        }
        double seconds = settleTimesMs.get(index) / 1e3;
        rows.append("<tr><td>")
                .append(escapeHtml(faults))
                .append("<td>")
                .append(Double.isInfinite(seconds) ? "never" : String.format(Locale.ROOT, "%.2f", seconds));
        settled.put(new JSONObject()
                .put("after", faults)
                .put("seconds", Double.isInfinite(seconds) ? JSONObject.NULL : seconds));
        return index + 1;
    }

    /** Escapes text for the content of an HTML element. */
    static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static void plotViewSizes(Path file, FaultSchedule schedule, MembershipMonitor monitor) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(500)
                .title(schedule.name())
                .xAxisTitle("seconds")
                .yAxisTitle("members in a view")
                .build();
        chart.getStyler().setLegendVisible(schedule.slotCount() <= 20);
        Map<Integer, List<Double>> secondsByProcess = new HashMap<>();
        Map<Integer, List<Double>> sizesByProcess = new HashMap<>();
        Map<Integer, Set<String>> views = new HashMap<>();
        for (MembershipMonitor.ReportedChange change : monitor.allChanges()) {
            Set<String> view = views.computeIfAbsent(change.process(), p -> new HashSet<>());
            if (change.kind().equals("Lost")) {
                view.remove(change.member());
            } else if (change.member() != null) {
                view.add(change.member());
            }
            secondsByProcess
                    .computeIfAbsent(change.process(), p -> new ArrayList<>())
                    .add(change.timeMs() / 1e3);
            sizesByProcess
                    .computeIfAbsent(change.process(), p -> new ArrayList<>())
                    .add(view.size() + 1.0);
        }
        secondsByProcess.forEach((process, seconds) -> {
            XYSeries series = chart.addSeries("process " + process, seconds, sizesByProcess.get(process));
            series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Step).setMarker(SeriesMarkers.NONE);
        });
        if (!secondsByProcess.isEmpty()) {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
