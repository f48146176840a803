package loadbalancer.policy;

/** Servers to draw from, with their cumulative weights and the table for draws by key. Contains no rules. */
final class WeightedServers {
    final ServerRecord[] servers;
    final long[] cumulativeWeights;
    /** Empty if no draws are made by key. */
    final ServerRecord[] keyTable;

    WeightedServers(ServerRecord[] servers, ServerRecord[] keyTable) {
        this.servers = servers;
        this.keyTable = keyTable;
        cumulativeWeights = new long[servers.length];
    }
}
