package loadbalancer.policy;

/**
 * Hands the end of each attempt to the rules that learn from it, in the order in which they rest on each other, and
 * makes them forget a server whose process is a new one. Single-threaded; no I/O.
 */
final class OutcomeRecorder {
    private final BalancerRules rules;

    OutcomeRecorder(BalancerRules rules) {
        this.rules = rules;
    }

    /** An attempt ended; its result stands in the request by now. */
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
            boolean unhealthy = showsFault(outcome.result(), classHealth, request.sentAtUs[attempt]);
            onFailure(server, classHealth, unhealthy, nowUs);
        }
        if (outcome.result() == AttemptResult.OK || outcome.result() == AttemptResult.ERROR) {
            classHealth.answeredAtUs = nowUs;
            server.health.answeredAtUs = nowUs;
            server.lastAttemptAnswered = true;
        }
    }

    private static boolean isFailure(AttemptResult result) {
        return switch (result) {
            case ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET -> true;
            case OK, CANCELLED, MOOT -> false;
        };
    }

    /** Whether a failure shows a fault of the server. A full server, or a slow one that answers others, is loaded. */
    private static boolean showsFault(AttemptResult result, ServerHealth classHealth, long sentAtUs) {
        return switch (result) {
            case FULL -> false;
            case TIMEOUT -> classHealth.answeredAtUs < sentAtUs;
            default -> true;
        };
    }

    private void onSuccess(ServerRecord server, ServerHealth classHealth, boolean slow, long nowUs) {
        rules.slowStart.onSuccess(nowUs);
        rules.trialRequests.onSuccess(server, classHealth);
        OutlierDetector.Recovery recovery = rules.outlierDetector.onSuccess(server, classHealth, nowUs);
        if (recovery == OutlierDetector.Recovery.SERVER) {
            forgetMeasurements(server);
        }
        if (recovery != OutlierDetector.Recovery.NONE) {
            rules.outlierDetector.refresh();
        } else if (!server.health.ejected) {
            rules.errorCounter.onSuccess(server, slow);
        }
    }

    private void onFailure(ServerRecord server, ServerHealth classHealth, boolean unhealthy, long nowUs) {
        rules.errorCounter.onFailure(server);
        rules.outlierDetector.onFailure(server, classHealth, unhealthy, nowUs);
    }

    private void recordLoad(PendingRequest request, AttemptOutcome outcome, long nowUs) {
        ClassLatency latency = rules.latencies.get(request.classIndex);
        LoadSignal signal = LoadSignal.of(request, outcome, latency);
        if (signal != LoadSignal.NONE) {
            boolean answered = signal == LoadSignal.ANSWERED;
            // By its arrival here, not by its client's first attempt: the ratio measures this node and its servers.
            rules.onTimeRatio.record(answered && nowUs <= request.arrivedAtUs + request.latencyObjectiveUs);
        }
        if (signal == LoadSignal.ANSWERED) {
            latency.record(outcome.latencyUs());
            rules.priority.invalidate();
        }
        rules.limiter.onOutcome(request, outcome.attempt(), outcome.latencyUs(), signal, nowUs);
    }

    /** An attempt had no answer for long: counts as a failure now, unless its server has answered others since. */
    void onUnresponsive(PendingRequest request, int attempt, long nowUs) {
        ServerRecord server = request.servers[attempt];
        ServerHealth classHealth = server.classHealth.get(request.classIndex);
        if (classHealth.answeredAtUs < request.sentAtUs[attempt]) {
            request.countedAsFailure[attempt] = true;
            onFailure(server, classHealth, true, nowUs);
        }
    }

    /** The server's process is a new one: what was measured of the old one says nothing of it. */
    void onRestarted(ServerRecord server) {
        rules.slowStart.reset(server);
        rules.outlierDetector.onRestarted(server);
        forgetMeasurements(server);
    }

    /** A server that returns from ejection may be a new process too, which the list is yet to show. */
    private void forgetMeasurements(ServerRecord server) {
        rules.errorCounter.reset(server);
        rules.limiter.reset(server);
        rules.loadReports.reset(server);
    }
}
