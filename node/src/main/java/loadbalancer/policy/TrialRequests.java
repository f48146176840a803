package loadbalancer.policy;

import java.util.List;

/**
 * The requests that ejected servers get. A server that is due gets one request at a time; failed trial requests of
 * all servers together have a budget, since trials of a whole lost zone, from every node, would else take up most
 * idempotent requests. Requests that are not idempotent are risked only where no others could show a recovery: for a
 * class of their own.
 *
 * <p>As a fallback, where all other servers are full, an ejected server that still answers, if with errors, gets
 * idempotent requests with a further attempt to spare. Errors cost no work, so what the server does serve is gained;
 * but the longer it only fails, the longer it is left alone, else one that fails at once would draw most requests.
 *
 * <p>Harm: a trial request to a server that still fails costs the request an attempt. Single-threaded; no I/O.
 */
final class TrialRequests {
    /** Budget: trial requests that each first attempt pays for, and the most that are saved up. */
    private static final double BUDGET_PER_REQUEST = 0.05;

    private static final double MAX_BUDGET = 4;
    /** Ejection times that requests which are not idempotent wait longer: each that fails is lost. */
    private static final int NON_IDEMPOTENT_WAIT_FACTOR = 4;
    /**
     * Failures in a row from which on a fallback server rests, up to about its class's mean latency, as if each
     * failure took as long as an answer. A server that serves three in ten fails so many in one of seventeen runs,
     * one that serves none always.
     */
    private static final int FALLBACK_FAILURES = ServerHealth.HISTORY_LENGTH / 2;

    private final PerClass<ClassLatency> latencies;
    private final ServerEligibility eligibility;
    /** The ejected servers; a view. */
    private final List<ServerRecord> ejected;

    private double budget = MAX_BUDGET;

    TrialRequests(PerClass<ClassLatency> latencies, ServerEligibility eligibility, List<ServerRecord> ejected) {
        this.latencies = latencies;
        this.eligibility = eligibility;
        this.ejected = ejected;
    }

    void onFirstAttemptSent() {
        budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
    }

    /** An ejected server answered: the trial request gives back what it cost. */
    void onSuccess(ServerRecord server, ServerHealth classHealth) {
        if (server.health.ejected || classHealth.ejected) {
            budget = Math.min(MAX_BUDGET, budget + 1);
        }
    }

    /** An ejected server that is due for a trial with this request, which is paid for; null if there is none. */
    ServerRecord pickDue(PendingRequest request, long nowUs) {
        if (ejected.isEmpty() || budget < 1) {
            return null;
        }
        for (int i = 0; i < ejected.size(); i++) {
            ServerRecord server = ejected.get(i);
            if (isDue(request, server, nowUs) && isFree(request, server, nowUs)) {
                budget--;
                return server;
            }
        }
        return null;
    }

    /** An ejected server for a request that no other server may get; null if there is none. */
    ServerRecord pickFallback(PendingRequest request, long nowUs) {
        boolean canBeRisked = request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                && request.attempts < request.maxAttempts() - 1;
        if (!canBeRisked) {
            return null;
        }
        for (int i = 0; i < ejected.size(); i++) {
            ServerRecord server = ejected.get(i);
            if (mayServeAsFallback(request, server, nowUs) && isFree(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    private boolean isFree(PendingRequest request, ServerRecord server, long nowUs) {
        return server.inFlight == 0 && eligibility.maySendTrial(request, server, nowUs);
    }

    private static boolean isDue(PendingRequest request, ServerRecord server, long nowUs) {
        ServerHealth health = server.health;
        ServerHealth classHealth = server.classHealth.get(request.classIndex);
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return !health.ejected
                    && classHealth.ejected
                    && nowUs >= classHealth.trialAtUs + NON_IDEMPOTENT_WAIT_FACTOR * classHealth.trialIntervalUs;
        }
        return health.ejected && nowUs >= health.trialAtUs || classHealth.ejected && nowUs >= classHealth.trialAtUs;
    }

    private boolean mayServeAsFallback(PendingRequest request, ServerRecord server, long nowUs) {
        int failures = Math.max(0, server.health.consecutiveFailures() - FALLBACK_FAILURES);
        double waitUs = failures * latencies.get(request.classIndex).meanUs() / ServerHealth.HISTORY_LENGTH;
        return server.lastAttemptAnswered
                && nowUs >= server.pausedUntilUs
                && nowUs >= server.health.answeredAtUs + waitUs;
    }
}
