package loadbalancer.policy;

/** Applies all rules that decide whether a request may be sent to a server. */
final class ServerEligibility {
    private final LoadReports loadReports;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;

    ServerEligibility(LoadReports loadReports, ConcurrencyLimiter limiter, SlowStart slowStart) {
        this.loadReports = loadReports;
        this.limiter = limiter;
        this.slowStart = slowStart;
    }

    /** Whether an ordinary attempt may be sent to the server. */
    boolean maySend(PendingRequest request, ServerRecord server, long nowUs) {
        return !server.health.ejected
                && !server.classHealth.get(request.classIndex).ejected
                && !loadReports.isOverloaded(server, nowUs)
                && !limiter.isAtLimit(request, server, nowUs)
                && maySendTrial(request, server, nowUs);
    }

    /**
     * Whether a trial request may be sent to the server: applies only the rules that hold regardless of its health and
     * load.
     */
    boolean maySendTrial(PendingRequest request, ServerRecord server, long nowUs) {
        return server.state == ServerState.READY
                && slowStart.maySend(server, nowUs)
                && RetryPolicy.mayRunAt(request, server);
    }
}
