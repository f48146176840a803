package loadbalancer.policy;

/**
 * ServiceQ's weights of servers: ceil(E / (1 + errors)), where E = floor((1 + m)^1.5) and m is the highest error count
 * of the servers in use. An ejected server weighs 1. Worked out anew only after a change. Single-threaded; no I/O.
 */
final class ServerWeights {
    private static final double EXPONENT = 1.5;

    private final BalancerState state;
    /** The weight of a server without errors. */
    private double highest = 1;

    ServerWeights(BalancerState state) {
        this.state = state;
    }

    /** Works the weights out anew if an error count, an ejection or the servers in use have changed. */
    void refreshIfStale() {
        if (state.weightsStale) {
            int maxErrors = 0;
            for (ServerRecord server : state.servers) {
                maxErrors = Math.max(maxErrors, server.errors);
            }
            highest = Math.floor(Math.pow(1 + maxErrors, EXPONENT));
            accumulate(state.allServers);
            accumulate(state.localServers);
            state.weightsStale = false;
        }
    }

    private void accumulate(WeightedServers from) {
        long sum = 0;
        for (int i = 0; i < from.servers.length; i++) {
            sum += weight(from.servers[i]);
            from.cumulativeWeights[i] = sum;
        }
    }

    /** The weight of a server without errors, as of the last refresh. */
    double highest() {
        return highest;
    }

    boolean areAllEqual() {
        return highest == 1;
    }

    long weight(ServerRecord server) {
        return server.health.ejected ? 1 : (long) Math.ceil(highest / (1 + server.errors));
    }
}
