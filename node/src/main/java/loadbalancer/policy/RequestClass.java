package loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param name its name in the settings
 * @param latencyObjectiveUs answers within this time earn the full weight
 * @param objectiveStretch the objective grows by this many times the request's own work, up to the deadline
 * @param deadlineUs how long a client waits over all its attempts
 * @param priorityWeight weight of a request
 * @param lateWeight share of the weight that an answer after the objective earns
 * @param idempotency whether it may run again
 * @param deduplicationScope requests with an idempotency key: who drops duplicates
 * @param deduplicationWindowUs requests with an idempotency key: for how long, from the first attempt that may have run
 * @param streaming whether answers are streamed
 */
public record RequestClass(
        String name,
        long latencyObjectiveUs,
        double objectiveStretch,
        long deadlineUs,
        double priorityWeight,
        double lateWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        boolean streaming) {}
