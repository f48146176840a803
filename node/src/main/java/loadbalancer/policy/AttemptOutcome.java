package loadbalancer.policy;

/**
 * The outcome of one attempt.
 *
 * @param requestId the request
 * @param attempt the number of the attempt
 * @param result how it ended
 * @param latencyUs time since it was sent, in microseconds
 * @param requestEnded true if the request has its final response, through this outcome or earlier; false if the
 *     balancer still has to give one
 * @param report the server's load report, or null
 */
public record AttemptOutcome(
        long requestId, int attempt, AttemptResult result, long latencyUs, boolean requestEnded, LoadReport report) {}
