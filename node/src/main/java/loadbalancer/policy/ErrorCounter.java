package loadbalancer.policy;

/**
 * Maintains the error counts that lower the weights of servers. A failed attempt adds one. A success clears the count,
 * unless many nodes share each server.
 *
 * <p>Where many nodes share each server, a success that was slower than about half of its class adds one, but raises no
 * count above {@link #MAX_ERRORS_OF_SLOW_RESPONSES}, and any other success subtracts one. The weights then settle where
 * all servers are about equally quick. Successes of a server that is ejected for all classes are not counted.
 *
 * <p>Trade-off: a server that is slow because of the kind of requests it serves receives fewer of them.
 */
final class ErrorCounter {
    /** Slow responses raise a count up to this value; the concurrency limit restricts a server that is slower still. */
    private static final int MAX_ERRORS_OF_SLOW_RESPONSES = 8;

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
            return Math.max(errors, Math.min(MAX_ERRORS_OF_SLOW_RESPONSES, errors + 1));
        }
        return Math.max(0, errors - 1);
    }

    void reset(ServerRecord server) {
        server.errors = 0;
    }
}
