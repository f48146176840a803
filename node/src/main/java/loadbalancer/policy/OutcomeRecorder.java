package loadbalancer.policy;

/**
 * Passes the outcome of each attempt to the rules that learn from it, in the order of their dependencies, and resets
 * their data on a server whose process has been replaced.
 */
final class OutcomeRecorder {
    private final BalancerRules rules;

    OutcomeRecorder(BalancerRules rules) {
        this.rules = rules;
    }

    /**
     * Records the outcome of an attempt, whose result the request already holds. A request that is bound to an attempt
     * is no load signal, because its transfer depends on the client.
     */
    void onOutcome(PendingRequest request, AttemptOutcome outcome, long nowUs) {
        rules.loadReports.record(request.servers[outcome.attempt()], outcome, nowUs);
        recordHealth(request, outcome, nowUs);
        if (!request.isBound()) {
            recordLoad(request, outcome, nowUs);
        }
    }

    private void recordHealth(PendingRequest request, AttemptOutcome outcome, long nowUs) {
        int attempt = outcome.attempt();
        ServerRecord server = request.servers[attempt];
        ServerHealth classHealth = server.classHealth.get(request.classIndex);
        if (outcome.result() == AttemptResult.OK) {
            boolean slow = rules.latencies.get(request.classIndex).isSlow(outcome.latencyUs());
            onSuccess(server, classHealth, slow, nowUs);
        } else if (isFailure(outcome.result()) && !request.countedAsFailure[attempt]) {
            boolean serverFault = isServerFault(outcome.result(), classHealth, request.sentAtUs[attempt]);
            onFailure(server, classHealth, serverFault, nowUs);
        }
        if (outcome.result() == AttemptResult.OK || outcome.result() == AttemptResult.ERROR) {
            classHealth.lastResponseAtUs = nowUs;
            server.health.lastResponseAtUs = nowUs;
            server.lastOutcomeWasResponse = true;
        }
    }

    private static boolean isFailure(AttemptResult result) {
        return switch (result) {
            case ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET -> true;
            case OK, CANCELLED, MOOT -> false;
        };
    }

    /**
     * Whether a failure indicates a fault of the server. A server that rejects a request as full is only loaded, and so
     * is one that times out but has responded to another request of the class meanwhile.
     */
    private static boolean isServerFault(AttemptResult result, ServerHealth classHealth, long sentAtUs) {
        return switch (result) {
            case FULL -> false;
            case TIMEOUT -> classHealth.lastResponseAtUs < sentAtUs;
            default -> true;
        };
    }

    private void onSuccess(ServerRecord server, ServerHealth classHealth, boolean slow, long nowUs) {
        rules.slowStart.onSuccess(nowUs);
        rules.trialRequests.onSuccess(server, classHealth);
        OutlierDetector.Recovery recovery = rules.outlierDetector.onSuccess(server, classHealth, nowUs);
        if (recovery == OutlierDetector.Recovery.SERVER) {
            resetMeasurements(server);
        }
        if (recovery != OutlierDetector.Recovery.NONE) {
            rules.outlierDetector.refresh();
        } else if (!server.health.ejected) {
            rules.errorCounter.onSuccess(server, slow);
        }
    }

    private void onFailure(ServerRecord server, ServerHealth classHealth, boolean serverFault, long nowUs) {
        rules.errorCounter.onFailure(server);
        rules.outlierDetector.onFailure(server, classHealth, serverFault, nowUs);
    }

    private void recordLoad(PendingRequest request, AttemptOutcome outcome, long nowUs) {
        ClassLatency latency = rules.latencies.get(request.classIndex);
        LoadSignal signal = LoadSignal.of(request, outcome, latency);
        if (signal != LoadSignal.NONE) {
            boolean responded = signal == LoadSignal.ANSWERED;
            // The objective counts from the arrival at this node, not from the client's first attempt: the ratio
            // measures this node and its servers.
            rules.onTimeRatio.record(responded && nowUs <= request.arrivedAtUs + request.latencyObjectiveUs);
        }
        if (signal == LoadSignal.ANSWERED) {
            latency.record(outcome.latencyUs());
            rules.priority.invalidate();
        }
        rules.limiter.onOutcome(request, outcome.attempt(), outcome.latencyUs(), signal, nowUs);
    }

    /**
     * Counts an unresponsive attempt as a failure now, unless its server has responded to another request of the class
     * since it was sent.
     */
    void onUnresponsive(PendingRequest request, int attempt, long nowUs) {
        ServerRecord server = request.servers[attempt];
        ServerHealth classHealth = server.classHealth.get(request.classIndex);
        if (classHealth.lastResponseAtUs < request.sentAtUs[attempt]) {
            request.countedAsFailure[attempt] = true;
            onFailure(server, classHealth, true, nowUs);
        }
    }

    /** Resets a server whose process has been replaced: measurements of the old process do not apply to it. */
    void onRestarted(ServerRecord server) {
        rules.slowStart.reset(server);
        rules.outlierDetector.onRestarted(server);
        resetMeasurements(server);
    }

    /** Also used when an ejection ends: the server may be a new process that the endpoint list does not show yet. */
    private void resetMeasurements(ServerRecord server) {
        rules.errorCounter.reset(server);
        rules.limiter.reset(server);
        rules.loadReports.reset(server);
    }
}
