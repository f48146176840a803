package loadbalancer.policy;

/** Whether a request may be sent to a server, by all rules that exclude servers. Single-threaded; no I/O. */
final class ServerEligibility {
    private final LoadReports loadReports;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;

    ServerEligibility(LoadReports loadReports, ConcurrencyLimiter limiter, SlowStart slowStart) {
        this.loadReports = loadReports;
        this.limiter = limiter;
        this.slowStart = slowStart;
    }

    /** Whether an ordinary attempt may go there. */
    boolean maySend(PendingRequest request, ServerRecord server, long nowUs) {
        return !server.health.ejected
                && !server.classHealth.get(request.classIndex).ejected
                && !loadReports.isOverloaded(server, nowUs)
                && !limiter.isAtLimit(request, server, nowUs)
                && maySendTrial(request, server, nowUs);
    }

    /** Whether a trial request may go there: by the rules that hold whatever the server's health and load. */
    boolean maySendTrial(PendingRequest request, ServerRecord server, long nowUs) {
        return server.state == ServerState.READY
                && slowStart.maySend(server, nowUs)
                && RetryPolicy.mayRunAt(request, server);
    }
}
