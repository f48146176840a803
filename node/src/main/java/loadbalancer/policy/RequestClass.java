package loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param name its name in the settings
 * @param latencyObjectiveUs responses within this time have the full weight
 * @param objectiveStretch multiple of the request's own work that is added to the objective, up to the deadline
 * @param deadlineUs how long a client waits over all its attempts
 * @param priorityWeight weight of a request
 * @param lateWeight share of the weight that a response after the objective has
 * @param idempotency whether a request may run more than once
 * @param deduplicationScope for requests with an idempotency key: which servers recognize duplicates
 * @param deduplicationWindowUs for requests with an idempotency key: how long after the first attempt that may have run
 *     duplicates are recognized
 * @param streaming whether responses are streamed
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
