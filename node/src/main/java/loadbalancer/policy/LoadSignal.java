package loadbalancer.policy;

/** Indicates a server's load by the outcome of an attempt. */
enum LoadSignal {
    /** The server served the request; the latency indicates its load. */
    ANSWERED,
    /**
     * The attempt was cancelled after more than the usual latency because the request was withdrawn: its client left,
     * or the node sent the final response itself. The response would have been at least that slow. Without this signal
     * only the quick responses of an overloaded server would be counted.
     */
    ABANDONED,
    /** Rejected without being read: the server is full. */
    REJECTED,
    /** No response in time. */
    TIMED_OUT,
    /**
     * No indication: the attempt failed, was cancelled in any other case, or was never sent. An error response gives
     * none, however quick or slow it is.
     */
    NONE;

    static LoadSignal of(PendingRequest request, AttemptOutcome outcome, ClassLatency latency) {
        return switch (outcome.result()) {
            case OK -> ANSWERED;
            case FULL -> REJECTED;
            case TIMEOUT -> TIMED_OUT;
            case CANCELLED -> request.withdrawn && latency.isSlow(outcome.latencyUs()) ? ABANDONED : NONE;
            default -> NONE;
        };
    }
}
