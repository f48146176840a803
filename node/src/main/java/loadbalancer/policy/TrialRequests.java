package loadbalancer.policy;

import java.util.List;

/**
 * Picks requests that are sent to ejected servers.
 *
 * <p>A trial request shows whether an ejected server has recovered. A server that is due receives one only while this
 * node has no other attempt in flight there; attempts that their request is bound to do not count. Failed trial
 * requests share a budget over all servers, because trials of a whole failed zone, from every node, would otherwise
 * take most idempotent requests. Non-idempotent requests are used as trials only where no others could show a recovery:
 * if the server is ejected only for their class.
 *
 * <p>As a fallback, if no other server is found, an ejected server that still responds, even with errors, receives
 * idempotent requests that have a further attempt left. This assumes that an error response costs a server little work,
 * so that each request that it does serve is a gain. The longer the server only fails, the longer it gets none, up to
 * 1.5 mean latencies, because a server that fails immediately would otherwise attract most requests.
 *
 * <p>Trade-off: a trial request to a server that still fails costs the request one of its attempts. If that was its
 * last one, the request itself fails: unlike a fallback, a trial does not require that a further attempt is left.
 */
final class TrialRequests {
    /** Trial requests that each first attempt adds to the budget. */
    private static final double BUDGET_PER_REQUEST = 0.05;

    /** Most trial requests that the budget saves up. */
    private static final double MAX_BUDGET = 4;
    /** Multiple of the trial interval that non-idempotent requests wait in addition: each one that fails is lost. */
    private static final int NON_IDEMPOTENT_WAIT_FACTOR = 4;
    /**
     * Failures in a row above which a fallback server is paused after its last response: for 1/16 of the mean latency
     * of the request's class per further failure, at most for 1.5 mean latencies. For a server that serves three of ten
     * requests at random, the probability that this many outcomes in a row fail is 0.7 to the power of 8, about one in
     * seventeen; a server that serves none always reaches the number.
     */
    private static final int FALLBACK_FAILURES = ServerHealth.HISTORY_LENGTH / 2;

    private final PerClass<ClassLatency> latencies;
    private final ServerEligibility eligibility;
    /** The ejected servers; a live view. */
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

    /**
     * Refunds the cost of a trial request that an ejected server has served. Any success at an ejected server refunds
     * as much, although fallback requests and attempts sent before the ejection were not charged.
     */
    void onSuccess(ServerRecord server, ServerHealth classHealth) {
        if (server.health.ejected || classHealth.ejected) {
            budget = Math.min(MAX_BUDGET, budget + 1);
        }
    }

    /**
     * Returns an ejected server that is due for a trial with this request, and charges the budget; null if there is
     * none or the budget is below 1.
     */
    ServerRecord pickDue(PendingRequest request, long nowUs) {
        if (ejected.isEmpty() || budget < 1) {
            return null;
        }
        for (int i = 0; i < ejected.size(); i++) {
            ServerRecord server = ejected.get(i);
            if (isDue(request, server, nowUs) && isIdleAndEligible(request, server, nowUs)) {
                budget--;
                return server;
            }
        }
        return null;
    }

    /** Returns an ejected server for a request that no other server may receive; null if there is none. */
    ServerRecord pickFallback(PendingRequest request, long nowUs) {
        boolean canBeRisked = request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                && request.attempts < request.maxAttempts() - 1;
        if (!canBeRisked) {
            return null;
        }
        for (int i = 0; i < ejected.size(); i++) {
            ServerRecord server = ejected.get(i);
            if (mayServeAsFallback(request, server, nowUs) && isIdleAndEligible(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    private boolean isIdleAndEligible(PendingRequest request, ServerRecord server, long nowUs) {
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
        return server.lastOutcomeWasResponse
                && nowUs >= server.pausedUntilUs
                && nowUs >= server.health.lastResponseAtUs + waitUs;
    }
}
