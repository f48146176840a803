package loadbalancer.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.EventCounters;
import loadbalancer.common.TransferEvent;
import loadbalancer.policy.RequestClass;

/**
 * The counters of the process since its start. Each event is counted once, where it occurs. Not thread-safe: used on
 * the event loop of the node only. {@link MetricsRenderer} renders the counters as text.
 */
public final class Metrics {
    /**
     * Values that are read from their owners when the metrics are rendered.
     *
     * @param openRequests the number of requests that have been received completely and whose final response has not
     *     ended
     * @param listedServers the number of app servers in the endpoint list
     * @param excludedServers the number of listed app servers that are cordoned, or ejected for any request class
     */
    public record Gauges(int openRequests, int listedServers, int excludedServers) {}

    private static final RequestOutcome[] OUTCOMES = RequestOutcome.values();

    /** Counts by class name and outcome. A class that is no longer configured keeps its counts. */
    private final Map<String, long[]> finishedRequests = new LinkedHashMap<>();

    private final EventCounters<ConnectionEvent> connections = new EventCounters<>(ConnectionEvent.values());
    private final EventCounters<TransferEvent> transfers = new EventCounters<>(TransferEvent.values());
    private long attempts;
    private long unconfirmedAttempts;
    private long configLoads;
    private long configErrors;

    /** Adds counters for the given classes, starting at 0. A class that is already registered keeps its counts. */
    public void register(List<RequestClass> classes) {
        for (RequestClass requestClass : classes) {
            finishedRequests.putIfAbsent(requestClass.name(), new long[OUTCOMES.length]);
        }
    }

    /** Counts a request whose outcome is final. Its class must have been registered. */
    public void onRequestFinished(String className, RequestOutcome outcome) {
        finishedRequests.get(className)[outcome.ordinal()]++;
    }

    /** Counts an attempt whose request has been written completely to a server. */
    public void onAttemptWritten() {
        attempts++;
    }

    /** Counts an attempt that began although its client may have left before. */
    public void onUnconfirmedAttempt() {
        unconfirmedAttempts++;
    }

    /** Returns the counters of what the node does with connections of clients by itself. */
    public EventCounters<ConnectionEvent> connections() {
        return connections;
    }

    /** Returns the counters of what the node does with transfers by itself. */
    public EventCounters<TransferEvent> transfers() {
        return transfers;
    }

    /** Counts a configuration file that has been applied by a reload. */
    public void onConfigLoaded() {
        configLoads++;
    }

    /** Counts a configuration file that has been rejected by a reload. */
    public void onConfigRejected() {
        configErrors++;
    }

    Iterable<String> classNames() {
        return finishedRequests.keySet();
    }

    long finishedRequests(String className, RequestOutcome outcome) {
        return finishedRequests.get(className)[outcome.ordinal()];
    }

    long attempts() {
        return attempts;
    }

    long unconfirmedAttempts() {
        return unconfirmedAttempts;
    }

    long configLoads() {
        return configLoads;
    }

    long configErrors() {
        return configErrors;
    }
}
