package loadbalancer.policy;

/**
 * The end of one attempt.
 *
 * @param requestId the request
 * @param attempt its number
 * @param result how it ended
 * @param latencyUs time since it was sent
 * @param requestEnded true if the request is over, by this outcome or before; else an answer is still owed
 * @param report the server's load report, or null
 */
public record AttemptOutcome(
        long requestId, int attempt, AttemptResult result, long latencyUs, boolean requestEnded, LoadReport report) {}
