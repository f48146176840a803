package loadbalancer.cli;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Writes tables and plots of histories as one HTML page without external links. */
final class Report {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 300;
    private static final double SECOND_US = 1e6;
    private static final long MAX_LATENCY_US = 120_000_000;
    /** A plot with more lines is unreadable, so only the servers with the fewest and the most requests are plotted. */
    private static final int MAX_LINES = 12;

    private Report() {}

    /** Counts of one history, per second. */
    private static final class HistorySummary implements History.Reader {
        private String title = "";
        private final Map<String, TreeMap<Integer, Integer>> responses = new TreeMap<>();
        private final Map<String, TreeMap<Integer, Integer>> served = new TreeMap<>();
        private final Map<String, Integer> outcomes = new TreeMap<>();
        private final TreeMap<Integer, Histogram> latencies = new TreeMap<>();
        private final TreeMap<Integer, String> faults = new TreeMap<>();
        private final Map<Long, Long> arrivedAtUs = new HashMap<>();
        private int lastSecond;
        private long events;

        @Override
        public void read(Event event) {
            events++;
            int second = (int) (event.atUs() / SECOND_US);
            lastSecond = Math.max(lastSecond, second);
            switch (event.kind()) {
                case RUN ->
                    title = event.text("scenario") + ", seed " + event.number("seed")
                            + (event.isTrue("real") ? ", processes" : ", simulated");
                case ASK -> arrivedAtUs.put(event.number("request"), event.atUs());
                case OUTCOME -> outcomes.merge(event.text("result"), 1, Integer::sum);
                case SERVED -> count(served, event.process(), second);
                case FAULT -> faults.merge(second, event.text("kind"), (a, b) -> a + ", " + b);
                case ANSWER -> {
                    count(responses, event.text("answer"), second);
                    Long at = arrivedAtUs.remove(event.number("request"));
                    if (at != null && event.text("answer").equals("OK")) {
                        latencies
                                .computeIfAbsent(second, s -> new Histogram(MAX_LATENCY_US, 2))
                                .recordValue(Math.min(MAX_LATENCY_US, event.atUs() - at));
                    }
                }
                default -> {}
            }
        }

        private static void count(Map<String, TreeMap<Integer, Integer>> counts, String name, int second) {
            counts.computeIfAbsent(name, n -> new TreeMap<>()).merge(second, 1, Integer::sum);
        }

        private static int sum(TreeMap<Integer, Integer> counts) {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    static String toHtml(List<Path> files) throws IOException {
        // Charts are drawn in memory and need no display.
        System.setProperty("java.awt.headless", "true");
        StringBuilder page = new StringBuilder("<!doctype html>\n<meta charset=\"utf-8\">\n<title>lb fleet</title>\n"
                + "<style>body{font:14px sans-serif;max-width:" + WIDTH + "px;margin:2em auto}"
                + "table{border-collapse:collapse}"
                + "td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}"
                + "img{width:100%}</style>\n<h1>Fleet runs</h1>\n");
        for (Path file : files) {
            HistorySummary summary = new HistorySummary();
            try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
                History.read(in, summary);
            }
            appendRun(page, file.getFileName().toString(), summary);
        }
        return page.toString();
    }

    private static void appendRun(StringBuilder page, String file, HistorySummary summary) throws IOException {
        Histogram all = new Histogram(MAX_LATENCY_US, 2);
        summary.latencies.values().forEach(all::add);
        page.append("<h2>")
                .append(escaped(summary.title.isEmpty() ? file : summary.title))
                .append("</h2>\n<p>")
                .append(escaped(file))
                .append(", ")
                .append(summary.events)
                .append(" events. Latency of requests that were served, in" + " time or late, at the node: median ")
                .append(String.format(
                        Locale.ROOT,
                        "%.1f ms, 99th percentile %.1f ms, max %.1f ms",
                        all.getValueAtPercentile(50) / 1e3,
                        all.getValueAtPercentile(99) / 1e3,
                        all.getMaxValue() / 1e3))
                .append(".</p>\n<table><tr><th>answers</th><th></th><th>attempts</th>" + "<th></th></tr>\n");
        List<Map.Entry<String, TreeMap<Integer, Integer>>> responses = List.copyOf(summary.responses.entrySet());
        List<Map.Entry<String, Integer>> outcomes = List.copyOf(summary.outcomes.entrySet());
        for (int i = 0; i < Math.max(responses.size(), outcomes.size()); i++) {
            page.append("<tr>");
            appendCells(
                    page,
                    i < responses.size() ? responses.get(i).getKey() : "",
                    i < responses.size()
                            ? Integer.toString(
                                    HistorySummary.sum(responses.get(i).getValue()))
                            : "");
            appendCells(
                    page,
                    i < outcomes.size() ? outcomes.get(i).getKey() : "",
                    i < outcomes.size() ? outcomes.get(i).getValue().toString() : "");
            page.append("</tr>\n");
        }
        page.append("</table>\n");
        page.append(renderPlot(
                "Responses per second; the starts of faults are marked",
                "answers",
                lines(summary.responses, summary.lastSecond),
                summary));
        page.append(renderPlot("Latency of requests that were served, ms", "ms", latencies(summary), summary));
        page.append(renderPlot(
                "Requests served per second by server"
                        + (summary.served.size() > MAX_LINES ? ", the fewest and the most" : ""),
                "requests",
                lines(extremes(summary.served), summary.lastSecond),
                summary));
    }

    private static void appendCells(StringBuilder page, String name, String value) {
        page.append("<td>")
                .append(escaped(name.toLowerCase(Locale.ROOT)))
                .append("</td><td>")
                .append(value)
                .append("</td>");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    /** Returns the counts of the servers that served the fewest and the most requests. */
    private static Map<String, TreeMap<Integer, Integer>> extremes(Map<String, TreeMap<Integer, Integer>> counts) {
        if (counts.size() <= MAX_LINES) {
            return counts;
        }
        List<String> byCount = counts.keySet().stream()
                .sorted((a, b) -> HistorySummary.sum(counts.get(a)) - HistorySummary.sum(counts.get(b)))
                .toList();
        Map<String, TreeMap<Integer, Integer>> selected = new TreeMap<>();
        for (int i = 0; i < MAX_LINES / 2; i++) {
            selected.put(byCount.get(i), counts.get(byCount.get(i)));
            String most = byCount.get(byCount.size() - 1 - i);
            selected.put(most, counts.get(most));
        }
        return selected;
    }

    private static XYSeriesCollection lines(Map<String, TreeMap<Integer, Integer>> counts, int lastSecond) {
        XYSeriesCollection lines = new XYSeriesCollection();
        counts.forEach((name, bySecond) -> {
            XYSeries line = new XYSeries(name);
            for (int second = 0; second <= lastSecond; second++) {
                line.add(second, bySecond.getOrDefault(second, 0));
            }
            lines.addSeries(line);
        });
        return lines;
    }

    private static XYSeriesCollection latencies(HistorySummary summary) {
        XYSeriesCollection lines = new XYSeriesCollection();
        for (int percent : new int[] {50, 90, 99}) {
            XYSeries line = new XYSeries(percent + "%");
            summary.latencies.forEach(
                    (second, histogram) -> line.add((double) second, histogram.getValueAtPercentile(percent) / 1e3));
            lines.addSeries(line);
        }
        return lines;
    }

    private static String renderPlot(String title, String unit, XYSeriesCollection lines, HistorySummary summary)
            throws IOException {
        JFreeChart chart = ChartFactory.createXYLineChart(title, "s", unit, lines);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setRenderer(new XYLineAndShapeRenderer(true, false));
        summary.faults.forEach((second, kinds) -> {
            ValueMarker marker = new ValueMarker(second, Color.GRAY, new BasicStroke(1));
            marker.setLabel(kinds);
            marker.setLabelAnchor(RectangleAnchor.TOP_RIGHT);
            marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
            plot.addDomainMarker(marker);
        });
        ByteArrayOutputStream image = new ByteArrayOutputStream();
        ChartUtils.writeChartAsPNG(image, chart, WIDTH, HEIGHT);
        return "<img alt=\"" + escaped(title) + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder().encodeToString(image.toByteArray()) + "\">\n";
    }
}
