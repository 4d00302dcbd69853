package weldhitch.simulator.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;
import weldhitch.simulator.cluster.RunStatistics;
import weldhitch.simulator.cluster.RunStatistics.RequestStatistics;

/**
 * Writes the statistics of one run: as JSON, as CSV by second, and as one self-contained HTML page with plots.
 * Single-threaded.
 */
public final class RunReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int WIDTH = 860;
    private static final int HEIGHT = 300;
    /** More servers than this are plotted as percentiles instead of one bar each. */
    private static final int MAX_BARS = 100;

    private final String scenarioName;
    private final long seed;
    private final RunStatistics statistics;

    /**
     * Creates a report of a finished run.
     *
     * @param scenarioName name of the scenario
     */
    public RunReport(String scenarioName, long seed, RunStatistics statistics) {
        this.scenarioName = scenarioName;
        this.seed = seed;
        this.statistics = statistics;
    }

    /** Returns the statistics that {@link RunComparison} reads: totals, by class and by reason. */
    public ObjectNode toJson() {
        ObjectNode report = JsonNodeFactory.instance
                .objectNode()
                .put("scenario", scenarioName)
                .put("seed", seed);
        putCounts(report.putObject("all"), statistics.total);
        report.put("crossings", statistics.crossZoneAttempts);
        ObjectNode classes = report.putObject("classes");
        statistics.byClass.forEach((c, counts) -> putCounts(classes.putObject(c), counts));
        ObjectNode causes = report.putObject("causes");
        statistics.unservedByCause.forEach(causes::put);
        ArrayNode seconds = report.putArray("goodputBySecond");
        statistics.bySecond.forEach(s -> seconds.add(s.goodput()));
        ObjectNode servers = report.putObject("attemptsByServer");
        statistics.attemptsByServer.forEach(servers::put);
        return report;
    }

    private static void putCounts(ObjectNode target, RequestStatistics counts) {
        target.put("offered", counts.offered)
                .put("inTime", counts.inTime)
                .put("late", counts.late)
                .put("refused", counts.rejected)
                .put("failed", counts.failed)
                .put("unreached", counts.unreachable)
                .put("tries", counts.clientAttempts)
                .put("attempts", counts.nodeAttempts)
                .put("goodput", counts.goodput())
                .put("inTimeShare", counts.inTimeFraction())
                .put("p50Ms", counts.latencyMs(50))
                .put("p99Ms", counts.latencyMs(99));
    }

    /** Writes {@code seed-N.json}, {@code seed-N.csv} and {@code seed-N.html} for the seed N. */
    public void write(Path directory) throws IOException {
        Files.createDirectories(directory);
        String base = "seed-" + seed;
        MAPPER.writerWithDefaultPrettyPrinter()
                .writeValue(directory.resolve(base + ".json").toFile(), toJson());
        Files.writeString(directory.resolve(base + ".csv"), toCsv());
        Files.writeString(directory.resolve(base + ".html"), toHtml());
    }

    private String toCsv() {
        StringBuilder csv = new StringBuilder(
                "second,offered,in_time,late,refused,failed,unreached,tries,attempts,goodput,p50_ms,p99_ms\n");
        for (int second = 0; second < statistics.bySecond.size(); second++) {
            RequestStatistics counts = statistics.bySecond.get(second);
            csv.append(String.format(
                    Locale.ROOT,
                    "%d,%d,%d,%d,%d,%d,%d,%d,%d,%.4f,%.2f,%.2f%n",
                    second,
                    counts.offered,
                    counts.inTime,
                    counts.late,
                    counts.rejected,
                    counts.failed,
                    counts.unreachable,
                    counts.clientAttempts,
                    counts.nodeAttempts,
                    counts.goodput(),
                    counts.latencyMs(50),
                    counts.latencyMs(99)));
        }
        return csv.toString();
    }

    private String toHtml() throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escapeHtml(scenarioName))
                .append("</title><style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
                        + "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid "
                        + "#ccc}td:first-child{text-align:left}"
                        + "svg{max-width:100%;height:auto}</style></head><body><h1>")
                .append(escapeHtml(scenarioName))
                .append("</h1><p>Seed ")
                .append(seed)
                .append(", ")
                .append(statistics.bySecond.size() - 1)
                .append(" s, ")
                .append(statistics.total.offered)
                .append(" client requests, not counting retries.</p>");
        appendTable(page);
        page.append(toSvg(lineChart(
                "Goodput: fraction of the offered priority weight that was served",
                "part",
                new PlotSeries("goodput", RequestStatistics::goodput),
                new PlotSeries("in time", RequestStatistics::inTimeFraction))));
        page.append(toSvg(lineChart(
                "Client requests by outcome",
                "a second",
                new PlotSeries("offered", c -> c.offered),
                new PlotSeries("in time", c -> c.inTime),
                new PlotSeries("late", c -> c.late),
                new PlotSeries("refused", c -> c.rejected),
                new PlotSeries("failed", c -> c.failed + c.unreachable))));
        page.append(toSvg(lineChart(
                "Latency of served requests",
                "ms",
                new PlotSeries("p50", c -> c.latencyMs(50)),
                new PlotSeries("p99", c -> c.latencyMs(99)))));
        page.append(toSvg(lineChart(
                "Attempts of clients and nodes",
                "for a first try",
                new PlotSeries("callers' tries", c -> ratio(c.clientAttempts, c.offered)),
                new PlotSeries("nodes' attempts", c -> ratio(c.nodeAttempts, c.offered)))));
        page.append(toSvg(attemptsByServerChart()));
        if (!statistics.unservedByCause.isEmpty()) {
            page.append(toSvg(barChart(
                    "Rejected and failed requests by cause",
                    new ArrayList<>(statistics.unservedByCause.keySet()),
                    statistics.unservedByCause.values().stream()
                            .map(Long::doubleValue)
                            .toList())));
        }
        return page.append("</body></html>\n").toString();
    }

    private void appendTable(StringBuilder page) {
        page.append("<table><tr><th></th><th>offered</th><th>in "
                + "time</th><th>late</th><th>refused</th><th>failed</th><th>goodput</th>"
                + "<th>p50, ms</th><th>p99, ms</th></tr>");
        appendRow(page, "all", statistics.total);
        statistics.byClass.forEach((c, counts) -> appendRow(page, c, counts));
        page.append("</table>");
    }

    private static void appendRow(StringBuilder page, String label, RequestStatistics counts) {
        page.append(String.format(
                Locale.ROOT,
                "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%.3f</td>"
                        + "<td>%.1f</td><td>%.1f</td></tr>",
                escapeHtml(label),
                counts.offered,
                counts.inTime,
                counts.late,
                counts.rejected,
                counts.failed + counts.unreachable,
                counts.goodput(),
                counts.latencyMs(50),
                counts.latencyMs(99)));
    }

    private static double ratio(long numerator, long denominator) {
        return denominator == 0 ? 0 : (double) numerator / denominator;
    }

    /** One series of a plot. */
    private record PlotSeries(String label, ToDoubleFunction<RequestStatistics> value) {}

    private Chart<?, ?> lineChart(String title, String unit, PlotSeries... series) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("s")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setYAxisMin(0.0);
        // At most about 600 points: more cannot be distinguished in a plot, and they make the page large.
        int step = Math.max(1, statistics.bySecond.size() / 600);
        for (PlotSeries line : series) {
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int second = 0; second < statistics.bySecond.size() - 1; second += step) {
                x.add((double) second);
                y.add(line.value.applyAsDouble(statistics.bySecond.get(second)));
            }
            if (x.isEmpty()) {
                x.add(0.0);
                y.add(0.0);
            }
            chart.addSeries(line.label, x, y).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    private Chart<?, ?> attemptsByServerChart() {
        List<Double> attemptCounts = statistics.attemptsByServer.values().stream()
                .map(Long::doubleValue)
                .toList();
        if (attemptCounts.size() <= MAX_BARS) {
            return barChart("Attempts by server", new ArrayList<>(statistics.attemptsByServer.keySet()), attemptCounts);
        }
        List<Double> sorted = attemptCounts.stream().sorted().toList();
        List<String> labels = new ArrayList<>();
        List<Double> values = new ArrayList<>();
        for (int percentile = 0; percentile <= 100; percentile += 5) {
            labels.add("p" + percentile);
            values.add(sorted.get(Math.min(sorted.size() - 1, percentile * sorted.size() / 100)));
        }
        return barChart("Attempts by server: percentiles of " + attemptCounts.size(), labels, values);
    }

    private static Chart<?, ?> barChart(String title, List<String> labels, List<Double> values) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisLabelRotation(60);
        chart.addSeries("count", labels.isEmpty() ? List.of("none") : labels, labels.isEmpty() ? List.of(0.0) : values);
        return chart;
    }

    private static String toSvg(Chart<?, ?> chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String text = out.toString(StandardCharsets.UTF_8);
        return text.substring(text.indexOf("<svg"));
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
