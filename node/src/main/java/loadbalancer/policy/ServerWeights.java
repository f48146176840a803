package loadbalancer.policy;

/**
 * Weights of servers as defined by ServiceQ: ceil(E / (1 + errors)), where E = floor((1 + m)^1.5) and m is the highest
 * error count of the servers in use. A server that is ejected for all classes has weight 1. Recomputed only after a
 * change.
 */
final class ServerWeights {
    private static final double EXPONENT = 1.5;

    private final BalancerState state;
    /** Weight of a server without errors. */
    private double highest = 1;

    ServerWeights(BalancerState state) {
        this.state = state;
    }

    /** Recomputes the weights if an error count, an ejection or the servers in use have changed. */
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

    private void accumulate(WeightedServers candidates) {
        long sum = 0;
        for (int i = 0; i < candidates.servers.length; i++) {
            sum += weight(candidates.servers[i]);
            candidates.cumulativeWeights[i] = sum;
        }
    }

    /** Weight of a server without errors, as of the last refresh. */
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
