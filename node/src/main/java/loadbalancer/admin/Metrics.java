package loadbalancer.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.policy.RequestClass;

/**
 * What this process has done since it started, for operators. Each thing is counted once, where it happens,
 * and on the loop; what stands now is read from its owner when it is asked for.
 */
public final class Metrics {
    /** How a request ended; written in small letters. */
    public enum Ending {
        PASSED,
        DROPPED,
        BAD_GATEWAY
    }

    /** Figures that stand now, each told by its owner. */
    public record Gauges(int inProgress, int knownServers, int skippedServers) {}

    private static final String PREFIX = "node_";

    /** By class and ending; a class that has been dropped keeps its figures. */
    private final Map<String, long[]> handled = new LinkedHashMap<>();

    private long tries;
    private long loads;
    private long loadErrors;

    /** These classes are reported from now on, from 0. */
    public void report(List<RequestClass> classes) {
        classes.forEach(c -> handled.computeIfAbsent(c.name(), name -> new long[Ending.values().length]));
    }

    /** A request has got the end of its final answer. */
    public void handled(String className, Ending ending) {
        handled.get(className)[ending.ordinal()]++;
    }

    /** An attempt has been written whole to a server. */
    public void tried() {
        tries++;
    }

    /** A configuration file has been taken. */
    public void loaded() {
        loads++;
    }

    /** A configuration file has been turned down. */
    public void loadFailed() {
        loadErrors++;
    }

    /** All figures, a line each. */
    public String text(Gauges now) {
        StringBuilder text = new StringBuilder();
        handled.forEach((name, counts) -> {
            for (Ending ending : Ending.values()) {
                line(
                        text,
                        "handled{category=\"" + escaped(name) + "\",outcome=\""
                                + ending.name().toLowerCase(Locale.ROOT) + "\"}",
                        counts[ending.ordinal()]);
            }
        });
        line(text, "upstream_tries", tries);
        line(text, "in_progress", now.inProgress);
        line(text, "known_app_servers", now.knownServers);
        line(text, "skipped_app_servers", now.skippedServers);
        line(text, "loads", loads);
        line(text, "load_errors", loadErrors);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
