package loadbalancer.admin;

import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.TransferEvent;

/** Renders the metrics of a node as text, one per line: a name, optional labels in braces, and a value. */
public final class MetricsRenderer {
    private static final String PREFIX = "node_";
    private static final String FINISHED_REQUESTS = "handled";
    private static final String CLASS_LABEL = "category";
    private static final String OUTCOME_LABEL = "outcome";
    private static final String ATTEMPTS = "upstream_tries";
    private static final String UNCONFIRMED_ATTEMPTS = "unconfirmed_tries";
    private static final String OPEN_REQUESTS = "in_progress";
    private static final String LISTED_SERVERS = "known_app_servers";
    private static final String EXCLUDED_SERVERS = "skipped_app_servers";
    private static final String CONFIG_LOADS = "loads";
    private static final String CONFIG_ERRORS = "load_errors";
    private static final String CONNECTIONS = "connections";
    private static final String TRANSFERS = "transfers";
    private static final String EVENT_LABEL = "event";

    private MetricsRenderer() {}

    /** Renders all metrics; must be called on the event loop of the node. */
    public static String render(Metrics metrics, Metrics.Gauges gauges) {
        StringBuilder text = new StringBuilder();
        for (String className : metrics.classNames()) {
            for (RequestOutcome outcome : RequestOutcome.values()) {
                String name = FINISHED_REQUESTS + "{" + label(CLASS_LABEL, className) + ","
                        + label(OUTCOME_LABEL, outcome.label()) + "}";
                appendLine(text, name, metrics.finishedRequests(className, outcome));
            }
        }
        appendLine(text, ATTEMPTS, metrics.attempts());
        appendLine(text, UNCONFIRMED_ATTEMPTS, metrics.unconfirmedAttempts());
        appendLine(text, OPEN_REQUESTS, gauges.openRequests());
        appendLine(text, LISTED_SERVERS, gauges.listedServers());
        appendLine(text, EXCLUDED_SERVERS, gauges.excludedServers());
        appendLine(text, CONFIG_LOADS, metrics.configLoads());
        appendLine(text, CONFIG_ERRORS, metrics.configErrors());
        for (ConnectionEvent event : ConnectionEvent.values()) {
            String name = CONNECTIONS + "{" + label(EVENT_LABEL, event.label()) + "}";
            appendLine(text, name, metrics.connections().count(event));
        }
        for (TransferEvent event : TransferEvent.values()) {
            String name = TRANSFERS + "{" + label(EVENT_LABEL, event.label()) + "}";
            appendLine(text, name, metrics.transfers().count(event));
        }
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static String label(String name, String value) {
        String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        return name + "=\"" + escaped + "\"";
    }
}
