package loadbalancer.policy;

/** What the end of an attempt shows of a server's load. */
enum LoadSignal {
    /** Answered; the latency shows the load. */
    ANSWERED,
    /**
     * The client left after more than the usual latency: the answer would have been no quicker. Without these only the
     * quick answers of an overloaded server would be seen.
     */
    ABANDONED,
    /** Rejected unread: the server is full. */
    REJECTED,
    /** Not answered in time. */
    TIMED_OUT,
    /** Nothing: it failed, was cancelled by this node or never sent. */
    NONE;

    static LoadSignal of(PendingRequest request, AttemptOutcome outcome, ClassLatency latency) {
        return switch (outcome.result()) {
            case OK -> ANSWERED;
            case FULL -> REJECTED;
            case TIMEOUT -> TIMED_OUT;
            case CANCELLED -> request.clientGone && latency.isSlow(outcome.latencyUs()) ? ABANDONED : NONE;
            default -> NONE;
        };
    }
}
