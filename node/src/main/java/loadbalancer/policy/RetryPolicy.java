package loadbalancer.policy;

/**
 * Decides whether, until when and where a request may be sent again, and whether its client may safely retry. A request
 * may have run unless it is certain for each of its attempts that it did not. If it may have run, a request with an
 * idempotency key may only be sent to servers that recognize the duplicate, within their deduplication window, and a
 * non-idempotent request may not be sent again.
 *
 * <p>Stateless. Applies before each attempt and each final response.
 */
final class RetryPolicy {

    private RetryPolicy() {}

    /** Whether a further attempt may be made, at any server. */
    static boolean mayRetry(PendingRequest request, long nowUs) {
        if (request.attempts >= request.maxAttempts() || nowUs >= request.deadlineAtUs || request.isBound()) {
            return false;
        }
        int binding = request.earliestThatMayHaveRun();
        return binding < 0
                || request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                        && nowUs <= beginByUs(request, binding);
    }

    /** The latest time at which the next attempt may begin; Long.MAX_VALUE if there is no limit. */
    static long beginByUs(PendingRequest request) {
        return beginByUs(request, request.earliestThatMayHaveRun());
    }

    private static long beginByUs(PendingRequest request, int binding) {
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && binding >= 0
                ? request.sentAtUs[binding] + request.requestClass.deduplicationWindowUs()
                : Long.MAX_VALUE;
    }

    /** Whether the server would recognize a duplicate, or no duplicate can arise. */
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

    /** Whether a retry by the client can do no harm. */
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
