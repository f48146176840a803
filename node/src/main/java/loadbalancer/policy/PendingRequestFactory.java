package loadbalancer.policy;

import java.util.List;

/**
 * Creates the record of an arriving request, with its deadline, the time of its latency objective, and the seed of its
 * draws by key.
 *
 * <p>The latency objective counts from the client's first attempt, which this node may not have received. Clients give
 * a retry the rest of their whole deadline, so the remaining time of a retry reveals when the first attempt was made. A
 * retry whose remaining time is that of a first attempt is treated as new.
 */
final class PendingRequestFactory {
    /**
     * Factor by which the largest remaining time falls with each first attempt, to follow changes: by a third in 4,000
     * requests.
     */
    private static final double REMAINING_TIME_DRIFT = 1.0001;
    /** Share of the class's deadline within which a remaining time counts as that of a first attempt. */
    private static final double REMAINING_TIME_SLACK = 0.01;

    /** The remaining time of a client's first attempt of a class; 0 while unknown. */
    private static final class RemainingTime {
        double us;
    }

    private final PerClass<RemainingTime> firstRemainingTimes = new PerClass<>(RemainingTime::new);

    /**
     * Adds new classes. A class that is listed again has new rules and may have other client deadlines, so its
     * remaining time is learned again.
     */
    void addClasses(List<RequestClass> classes) {
        int before = firstRemainingTimes.size();
        firstRemainingTimes.extendTo(classes);
        for (int index = before; index < firstRemainingTimes.size(); index++) {
            firstRemainingTimes.get(index).us = 0;
        }
    }

    PendingRequest create(BalancerRequest request, BalancerSettings settings, long nowUs) {
        RequestClass requestClass = settings.classes.get(request.classIndex());
        long latencyObjectiveUs = Math.min(
                requestClass.deadlineUs(),
                requestClass.latencyObjectiveUs() + (long) (requestClass.objectiveStretch() * request.workUs()));
        long arrivedAtUs = nowUs - request.waitedUs();
        long deadlineAtUs = arrivedAtUs + Math.max(0, request.remainingUs());
        long sinceFirstUs = sinceFirstAttemptUs(request, requestClass);
        return new PendingRequest(
                request,
                requestClass,
                settings.maxAttempts,
                arrivedAtUs,
                deadlineAtUs,
                latencyObjectiveUs,
                Math.min(deadlineAtUs, arrivedAtUs + latencyObjectiveUs - sinceFirstUs),
                settings.keyAffinity ? KeyAffinityPicker.seedOf(request.key()) : KeyAffinityPicker.NO_KEY);
    }

    /** Time since the client's first attempt, as far as this request reveals it; else 0. */
    private long sinceFirstAttemptUs(BalancerRequest request, RequestClass requestClass) {
        RemainingTime first = firstRemainingTimes.get(request.classIndex());
        if (!request.retry() || first.us <= 0) {
            first.us = Math.max(request.remainingUs(), first.us / REMAINING_TIME_DRIFT);
        }
        boolean revealsElapsedTime = request.retry()
                && Math.abs(request.remainingUs() - first.us) > REMAINING_TIME_SLACK * requestClass.deadlineUs();
        return revealsElapsedTime ? Math.max(0, requestClass.deadlineUs() - request.remainingUs()) : 0;
    }
}
