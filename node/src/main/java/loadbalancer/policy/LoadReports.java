package loadbalancer.policy;

/**
 * Tracks the load that servers report, which comes from all nodes. Used where responses carry the number of requests in
 * flight: where many nodes share a server, a node's own requests in flight are a poor measure of its load. A server
 * that is loaded well above the mean is skipped, as in consistent hashing with bounded loads; a draw by key then
 * continues with the key's next server.
 *
 * <p>A report decays with the latency of the response that carried it as time constant, roughly the time in which the
 * reported requests are completed. A server that is skipped sends no new reports, and would otherwise be skipped
 * forever.
 *
 * <p>Trade-off: while its last report is outdated, a server with spare capacity is skipped.
 */
final class LoadReports {
    /** A server is overloaded above this multiple of the mean load plus one request. */
    private static final double OVERLOADED_FACTOR = 1.5;
    /**
     * Multiple of the shortest objective above which a predicted latency cuts the server's limit; the margin keeps
     * servers busy.
     */
    private static final double LATE_FACTOR = 1.5;

    private final BalancerState state;
    /** Index of the field with the requests in flight, or -1 if there is none. */
    private final int inFlightField;
    /** Latency of a response divided by the reported number of requests in flight plus one. */
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

    /** Records the load report of an outcome, if it has one. */
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

    /** Whether a server must be skipped because of its reported load. */
    boolean isOverloaded(ServerRecord server, long nowUs) {
        if (inFlightField < 0) {
            return false;
        }
        double meanLoad = state.totalReportedLoad / Math.max(1, state.servers.length);
        double freshness = Math.exp((server.reportedAtUs - nowUs) / server.reportLatencyUs);
        return meanLoad + (server.reportedLoad - meanLoad) * freshness > OVERLOADED_FACTOR * meanLoad + 1;
    }

    /**
     * Whether, according to a report received at this time, one more request with the shortest objective would be late.
     */
    boolean predictsLateResponse(ServerRecord server, long nowUs) {
        return server.reportedAtUs == nowUs
                && (server.reportedLoad + 1) * latencyPerRequestUs.value() > LATE_FACTOR * shortestObjectiveUs;
    }

    /** Discards the report of a server. */
    void reset(ServerRecord server) {
        server.reportedLoad = 0;
        server.reportedAtUs = 0;
    }
}
