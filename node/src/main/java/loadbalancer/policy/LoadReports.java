package loadbalancer.policy;

/**
 * What servers report of their load over all nodes. Acts where answers carry the number of requests in flight: a
 * node's own requests in flight show little of that where it is one of many. A server that is loaded well beyond the
 * mean is passed over, as in consistent hashing with bounded loads; a draw by key then goes on to the key's next
 * server.
 *
 * <p>A report loses its effect in about the time in which the reported requests are worked off: a server that is
 * passed over sends no new report, and would stay passed over. Harm: while reports are old, a server with room is
 * passed over. Single-threaded; no I/O.
 */
final class LoadReports {
    /** A server is overloaded with this many times the mean load, and one request more. */
    private static final double OVERLOADED_FACTOR = 1.5;
    /** Predicted latency, in shortest objectives, from which a server's limit is cut; the margin keeps servers busy. */
    private static final double LATE_FACTOR = 1.5;

    private final BalancerState state;
    /** Index of the field with the requests in flight, or -1. */
    private final int inFlightField;
    /** Latency of an answer for each request that the server had in flight. */
    private final RunningMean latencyPerRequestUs = new RunningMean();

    private long shortestObjectiveUs;

    LoadReports(BalancerState state, int inFlightField) {
        this.state = state;
        this.inFlightField = inFlightField;
    }

    void applySettings(BalancerSettings settings) {
        shortestObjectiveUs = settings.classes.stream()
                .filter(requestClass -> requestClass.priorityWeight() > 0)
                .mapToLong(RequestClass::latencyObjectiveUs)
                .min()
                .orElse(0);
    }

    /** Takes in the report that came with an outcome, if any. */
    void record(ServerRecord server, AttemptOutcome outcome, long nowUs) {
        if (!hasLoad(outcome.report())) {
            return;
        }
        double load = outcome.report().value(inFlightField);
        if (state.isCounted(server)) {
            state.totalReportedLoad += load - server.reportedLoad;
        }
        server.reportedLoad = load;
        server.reportedAtUs = nowUs;
        server.reportLatencyUs = Math.max(1, outcome.latencyUs());
        if (outcome.result() == AttemptResult.OK) {
            latencyPerRequestUs.add(outcome.latencyUs() / (load + 1));
        }
    }

    private boolean hasLoad(LoadReport report) {
        return inFlightField >= 0 && report != null && report.value(inFlightField) >= 0;
    }

    /** Whether a server is to be passed over. */
    boolean isOverloaded(ServerRecord server, long nowUs) {
        if (inFlightField < 0) {
            return false;
        }
        double mean = state.totalReportedLoad / Math.max(1, state.servers.length);
        double freshness = Math.exp((server.reportedAtUs - nowUs) / server.reportLatencyUs);
        return mean + (server.reportedLoad - mean) * freshness > OVERLOADED_FACTOR * mean + 1;
    }

    /** Whether, by a report of this moment, one more request of the shortest objective would be answered late. */
    boolean predictsLateAnswer(ServerRecord server, long nowUs) {
        return server.reportedAtUs == nowUs
                && (server.reportedLoad + 1) * latencyPerRequestUs.value() > LATE_FACTOR * shortestObjectiveUs;
    }

    /** Forgets a server's report. */
    void reset(ServerRecord server) {
        server.reportedLoad = 0;
        server.reportedAtUs = 0;
    }
}
