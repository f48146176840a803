package loadbalancer.policy;

/** State that the rules share: the settings in force, the servers in use and sums over them. Contains no rules. */
final class BalancerState {
    BalancerSettings settings;
    /** The servers in use, in list order: all available servers, or this node's subset of them. */
    ServerRecord[] servers = new ServerRecord[0];
    /** The servers in use, as candidates for a draw. */
    WeightedServers allServers = new WeightedServers(servers, new ServerRecord[0]);
    /** The servers in use in this node's zone; the same object as {@link #allServers} where crossing zones is free. */
    WeightedServers localServers = allServers;

    /** Number of nodes that send to each server, on average. */
    double nodesPerServer;
    /**
     * Whether {@link #nodesPerServer} is so high that this node's own requests in flight are a poor measure of a
     * server's load.
     */
    boolean manyNodesPerServer;

    /** Sum of the limits of the servers in use that are not ejected for all classes. */
    double totalLimit;

    /** Sum of this node's attempts in flight at these servers. */
    int totalInFlight;
    /** Sum of the loads that these servers reported. */
    double totalReportedLoad;

    /** Set when an error count, an ejection or the servers in use change; cleared by {@link ServerWeights}. */
    boolean weightsStale;

    /**
     * Whether the sums include this server. Attempts stuck at an ejected or removed server must not block attempts at
     * the others.
     */
    boolean isCounted(ServerRecord server) {
        return server.inUse && !server.health.ejected;
    }

    /** Recomputes the sums, after a change of the servers in use or of an ejection. */
    void recomputeSums() {
        weightsStale = true;
        totalLimit = 0;
        totalInFlight = 0;
        totalReportedLoad = 0;
        for (ServerRecord server : servers) {
            if (isCounted(server)) {
                totalLimit += server.limit;
                totalInFlight += server.inFlight;
                totalReportedLoad += server.reportedLoad;
            }
        }
    }
}
