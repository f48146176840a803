package loadbalancer.policy;

/**
 * Decides whether, until when and where a request may be sent again, and whether its client may safely retry. No
 * further attempt is made when no attempts are left, when the deadline has passed, or when the request is bound to an
 * attempt.
 *
 * <p>A request may have run unless it is certain for each of its attempts that it did not. If it may have run, a
 * request with an idempotency key may only be sent to servers that recognize the duplicate, within their deduplication
 * window, and a non-idempotent request may not be sent again.
 *
 * <p>Stateless. {@link #mayRetry} applies to retries, hedged requests and all requests in the queue, but not to a first
 * attempt that is sent on arrival. The other rules apply to each attempt and to each final response of the balancer.
 */
final class RetryPolicy {

    private RetryPolicy() {}

    /** Whether a further attempt may be made, at any server. */
    static boolean mayRetry(PendingRequest request, long nowUs) {
        if (request.attempts >= request.maxAttempts() || nowUs >= request.deadlineAtUs || request.isBound()) {
            return false;
        }
        int firstThatMayHaveRun = request.earliestThatMayHaveRun();
        return firstThatMayHaveRun < 0
                || request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                        && nowUs <= startByUs(request, firstThatMayHaveRun);
    }

    /** The latest time at which the next attempt may start; Long.MAX_VALUE if there is no limit. */
    static long startByUs(PendingRequest request) {
        return startByUs(request, request.earliestThatMayHaveRun());
    }

    private static long startByUs(PendingRequest request, int firstThatMayHaveRun) {
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && firstThatMayHaveRun >= 0
                ? request.sentAtUs[firstThatMayHaveRun] + request.requestClass.deduplicationWindowUs()
                : Long.MAX_VALUE;
    }

    /** Whether the server would recognize a duplicate, or no duplicate can arise. */
    static boolean mayRunAt(PendingRequest request, ServerRecord server) {
        if (request.requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return true;
        }
        int firstThatMayHaveRun = request.earliestThatMayHaveRun();
        if (firstThatMayHaveRun < 0) {
            return true;
        }
        return switch (request.requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> server.zone == request.servers[firstThatMayHaveRun].zone;
            case CELL -> server.cell == request.servers[firstThatMayHaveRun].cell;
        };
    }

    /** Whether a retry by the client can do no harm. */
    static boolean isClientRetrySafe(PendingRequest request) {
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
