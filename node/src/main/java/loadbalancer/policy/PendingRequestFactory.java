package loadbalancer.policy;

import java.util.List;

/**
 * Makes the record of a request that arrives: its deadline, until when an answer earns the full weight, and the seed
 * of its draws by key.
 *
 * <p>The latency objective runs from the client's first attempt, which this node may not have seen. Clients give a
 * retry the rest of their whole time, so a retry with other than a first attempt's remaining time tells when the first
 * one was made. A retry with a first attempt's remaining time is taken for new.
 *
 * <p>Single-threaded.
 */
final class PendingRequestFactory {
    /** Fall of the largest remaining time with each first attempt, to follow changes: by a third in 4,000 requests. */
    private static final double REMAINING_TIME_DRIFT = 1.0001;
    /** Share of the deadline by which a remaining time may differ and still be a first attempt's. */
    private static final double REMAINING_TIME_SLACK = 0.01;

    /** The time that a client gives its first attempt of a class; 0 while it is unknown. */
    private static final class RemainingTime {
        double us;
    }

    private final PerClass<RemainingTime> firstRemaining = new PerClass<>(RemainingTime::new);

    /** Adds new classes; clients' times are a part of the rules, so they are learned anew under the new rules. */
    void addClasses(List<RequestClass> classes) {
        int before = firstRemaining.size();
        firstRemaining.extendTo(classes);
        for (int index = before; index < firstRemaining.size(); index++) {
            firstRemaining.get(index).us = 0;
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

    /** How long ago the client made its first attempt, as far as this request tells. */
    private long sinceFirstAttemptUs(BalancerRequest request, RequestClass requestClass) {
        RemainingTime first = firstRemaining.get(request.classIndex());
        if (!request.retry() || first.us <= 0) {
            first.us = Math.max(request.remainingUs(), first.us / REMAINING_TIME_DRIFT);
        }
        boolean showsElapsedTime = request.retry()
                && Math.abs(request.remainingUs() - first.us) > REMAINING_TIME_SLACK * requestClass.deadlineUs();
        return showsElapsedTime ? Math.max(0, requestClass.deadlineUs() - request.remainingUs()) : 0;
    }
}
