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

/** One page of HTML without outside links: what each history tells, in figures and plots. */
final class Report {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 300;
    private static final double SECOND_US = 1e6;
    private static final long MAX_LATENCY_US = 120_000_000;
    /** Beyond so many lines a plot cannot be read: the servers with the least and the most are drawn. */
    private static final int MAX_LINES = 12;

    private Report() {}

    /** What one history tells, second by second. */
    private static final class HistorySummary implements History.Reader {
        private String title = "";
        private final Map<String, TreeMap<Integer, Integer>> answers = new TreeMap<>();
        private final Map<String, TreeMap<Integer, Integer>> served = new TreeMap<>();
        private final Map<String, Integer> outcomes = new TreeMap<>();
        private final TreeMap<Integer, Histogram> latencies = new TreeMap<>();
        private final TreeMap<Integer, String> faults = new TreeMap<>();
        private final Map<Long, Long> arrivedAtUs = new HashMap<>();
        private int last;
        private long events;

        @Override
        public void read(Event event) {
            events++;
            int second = (int) (event.atUs() / SECOND_US);
            last = Math.max(last, second);
            switch (event.kind()) {
                case RUN ->
                    title = event.text("scenario") + ", seed " + event.number("seed")
                            + (event.isTrue("real") ? ", processes" : ", simulated");
                case ASK -> arrivedAtUs.put(event.number("request"), event.atUs());
                case OUTCOME -> outcomes.merge(event.text("result"), 1, Integer::sum);
                case SERVED -> count(served, event.process(), second);
                case FAULT -> faults.merge(second, event.text("kind"), (a, b) -> a + ", " + b);
                case ANSWER -> {
                    count(answers, event.text("answer"), second);
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

    static String of(List<Path> files) throws IOException {
        // Charts are drawn to memory: there is no screen to ask for.
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
            add(page, file.getFileName().toString(), summary);
        }
        return page.toString();
    }

    private static void add(StringBuilder page, String file, HistorySummary summary) throws IOException {
        Histogram all = new Histogram(MAX_LATENCY_US, 2);
        summary.latencies.values().forEach(all::add);
        page.append("<h2>")
                .append(escaped(summary.title.isEmpty() ? file : summary.title))
                .append("</h2>\n<p>")
                .append(escaped(file))
                .append(", ")
                .append(summary.events)
                .append(" events. Latency of what was served, in" + " time or late, at the node: median ")
                .append(String.format(
                        Locale.ROOT,
                        "%.1f ms, 99th percentile %.1f ms, most %.1f ms",
                        all.getValueAtPercentile(50) / 1e3,
                        all.getValueAtPercentile(99) / 1e3,
                        all.getMaxValue() / 1e3))
                .append(".</p>\n<table><tr><th>answers</th><th></th><th>attempts</th>" + "<th></th></tr>\n");
        List<Map.Entry<String, TreeMap<Integer, Integer>>> answers = List.copyOf(summary.answers.entrySet());
        List<Map.Entry<String, Integer>> outcomes = List.copyOf(summary.outcomes.entrySet());
        for (int i = 0; i < Math.max(answers.size(), outcomes.size()); i++) {
            page.append("<tr>");
            cells(
                    page,
                    i < answers.size() ? answers.get(i).getKey() : "",
                    i < answers.size()
                            ? Integer.toString(HistorySummary.sum(answers.get(i).getValue()))
                            : "");
            cells(
                    page,
                    i < outcomes.size() ? outcomes.get(i).getKey() : "",
                    i < outcomes.size() ? outcomes.get(i).getValue().toString() : "");
            page.append("</tr>\n");
        }
        page.append("</table>\n");
        page.append(plot(
                "Answers a second; what went wrong is marked",
                "answers",
                lines(summary.answers, summary.last),
                summary));
        page.append(plot("Latency of what was served, ms", "ms", latencies(summary), summary));
        page.append(plot(
                "Served a second by server" + (summary.served.size() > MAX_LINES ? ", the least and the most" : ""),
                "requests",
                lines(extremes(summary.served), summary.last),
                summary));
    }

    private static void cells(StringBuilder page, String name, String value) {
        page.append("<td>")
                .append(escaped(name.toLowerCase(Locale.ROOT)))
                .append("</td><td>")
                .append(value)
                .append("</td>");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static Map<String, TreeMap<Integer, Integer>> extremes(Map<String, TreeMap<Integer, Integer>> of) {
        if (of.size() <= MAX_LINES) {
            return of;
        }
        List<String> byCount = of.keySet().stream()
                .sorted((a, b) -> HistorySummary.sum(of.get(a)) - HistorySummary.sum(of.get(b)))
                .toList();
        Map<String, TreeMap<Integer, Integer>> ends = new TreeMap<>();
        for (int i = 0; i < MAX_LINES / 2; i++) {
            ends.put(byCount.get(i), of.get(byCount.get(i)));
            String most = byCount.get(byCount.size() - 1 - i);
            ends.put(most, of.get(most));
        }
        return ends;
    }

    private static XYSeriesCollection lines(Map<String, TreeMap<Integer, Integer>> counts, int last) {
        XYSeriesCollection lines = new XYSeriesCollection();
        counts.forEach((name, bySecond) -> {
            XYSeries line = new XYSeries(name);
            for (int second = 0; second <= last; second++) {
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
                    (second, of) -> line.add((double) second, of.getValueAtPercentile(percent) / 1e3));
            lines.addSeries(line);
        }
        return lines;
    }

    private static String plot(String title, String unit, XYSeriesCollection lines, HistorySummary summary)
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
