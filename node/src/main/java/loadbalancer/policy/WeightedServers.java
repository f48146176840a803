package loadbalancer.policy;

/** Servers to draw from, with their weights summed up to each, and the table that draws by key use. Plain state. */
final class WeightedServers {
    final ServerRecord[] servers;
    final long[] cumulativeWeights;
    /** Empty where no draws are made by key. */
    final ServerRecord[] keyPlaces;

    WeightedServers(ServerRecord[] servers, ServerRecord[] keyPlaces) {
        this.servers = servers;
        this.keyPlaces = keyPlaces;
        cumulativeWeights = new long[servers.length];
    }
}
