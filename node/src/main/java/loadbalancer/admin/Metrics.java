package loadbalancer.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.RequestClass;

/**
 * Counts what this process has done since its start. Each event is counted once, where it happens. Not thread-safe:
 * used on the event loop of the node only. {@link MetricsRenderer} writes the counters as text.
 */
public final class Metrics {
    /**
     * Values that are read from their owners when the metrics are written.
     *
     * @param openRequests requests that are complete and have no complete answer
     * @param listedServers app servers in the endpoint list
     * @param excludedServers of these, the ones that are cordoned or ejected
     */
    public record Gauges(int openRequests, int listedServers, int excludedServers) {}

    private static final RequestOutcome[] OUTCOMES = RequestOutcome.values();

    /** By class name, then by outcome. A class that is no longer configured keeps its counts. */
    private final Map<String, long[]> finishedRequests = new LinkedHashMap<>();

    private long attempts;
    private long configLoads;
    private long configErrors;

    /** Adds these classes, with counts of 0; a class that is there already keeps its counts. */
    public void register(List<RequestClass> classes) {
        for (RequestClass requestClass : classes) {
            finishedRequests.putIfAbsent(requestClass.name(), new long[OUTCOMES.length]);
        }
    }

    /** Counts a request whose final answer has ended; its class must have been registered. */
    public void onRequestFinished(String className, RequestOutcome outcome) {
        finishedRequests.get(className)[outcome.ordinal()]++;
    }

    /** Counts an attempt that has been written completely to a server. */
    public void onAttemptWritten() {
        attempts++;
    }

    /** Counts a configuration file that was loaded. */
    public void onConfigLoaded() {
        configLoads++;
    }

    /** Counts a configuration file that was rejected. */
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

    long configLoads() {
        return configLoads;
    }

    long configErrors() {
        return configErrors;
    }
}
