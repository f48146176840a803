package loadbalancer.policy;

/**
 * The error counts that lower servers' weights: a failed attempt adds one, a success clears the count.
 *
 * <p>Where many nodes share each server, a success that was slower than most of its class adds one as well, and any
 * other takes one off: the weights settle where all servers are about equally quick. Harm: a server that is slow by
 * its kind of requests gets fewer of them. Single-threaded; no I/O.
 */
final class ErrorCounter {
    /** Slow answers raise a count no further: the concurrency limit holds a server that is slower still. */
    private static final int MAX_ERRORS_OF_SLOW_ANSWERS = 8;

    private final BalancerState state;

    ErrorCounter(BalancerState state) {
        this.state = state;
    }

    void onFailure(ServerRecord server) {
        server.errors++;
        state.weightsStale = true;
    }

    void onSuccess(ServerRecord server, boolean slow) {
        int errors = errorsAfterSuccess(server.errors, slow);
        state.weightsStale |= errors != server.errors;
        server.errors = errors;
    }

    private int errorsAfterSuccess(int errors, boolean slow) {
        if (!state.manyNodesPerServer) {
            return 0;
        }
        if (slow) {
            return Math.max(errors, Math.min(MAX_ERRORS_OF_SLOW_ANSWERS, errors + 1));
        }
        return Math.max(0, errors - 1);
    }

    void reset(ServerRecord server) {
        server.errors = 0;
    }
}
