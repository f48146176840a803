package loadbalancer.policy;

/**
 * Whether, until when and where a further attempt of a request is lawful, and which final answer tells the client the
 * truth. A request may have run if any attempt is not known never to have run. One with an idempotency key may then
 * only go to servers that recognize the duplicate, and within their deduplication window; one that is not idempotent
 * may not be sent again.
 *
 * <p>Stateless; acts before each attempt and each final answer.
 */
final class RetryPolicy {

    private RetryPolicy() {}

    /** Whether any further attempt may be made, wherever it goes. */
    static boolean mayRetry(PendingRequest request, long nowUs) {
        if (request.attempts >= request.maxAttempts() || nowUs >= request.deadlineAtUs || request.isBound()) {
            return false;
        }
        int binding = request.earliestThatMayHaveRun();
        return binding < 0
                || request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                        && nowUs <= beginByUs(request, binding);
    }

    /** When the next attempt must have begun; Long.MAX_VALUE if that does not matter. */
    static long beginByUs(PendingRequest request) {
        return beginByUs(request, request.earliestThatMayHaveRun());
    }

    private static long beginByUs(PendingRequest request, int binding) {
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && binding >= 0
                ? request.sentAtUs[binding] + request.requestClass.deduplicationWindowUs()
                : Long.MAX_VALUE;
    }

    /** Whether the server would recognize a duplicate, or none can arise. */
    static boolean mayRunAt(PendingRequest request, ServerRecord server) {
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return true;
        }
        int binding = request.earliestThatMayHaveRun();
        if (binding < 0) {
            return true;
        }
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> server.zone == request.servers[binding].zone;
            case CELL -> server.cell == request.servers[binding].cell;
        };
    }

    /** Whether the client may be told that sending the request again does no harm. */
    static boolean isRetryByClientHarmless(PendingRequest request) {
        if (request.earliestThatMayHaveRun() < 0) {
            return true;
        }
        return switch (request.requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY -> request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> false;
        };
    }
}
