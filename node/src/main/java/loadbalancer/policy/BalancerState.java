package loadbalancer.policy;

/**
 * What the rules share: the settings in force, the servers in use and sums over them. Plain state without rules;
 * single-threaded.
 */
final class BalancerState {
    BalancerSettings settings;
    /** The servers in use, in list order: all that are ready, or this node's subset of them. */
    ServerRecord[] servers = new ServerRecord[0];
    /** The same, to draw from. */
    WeightedServers allServers = new WeightedServers(servers, new ServerRecord[0]);
    /** Those in this node's zone; the same object as {@link #allServers} where crossing zones is free. */
    WeightedServers localServers = allServers;

    /** How many nodes send to each server. */
    double nodesPerServer;
    /** Whether these are so many that this node's own requests in flight show little of a server's load. */
    boolean manyNodesPerServer;

    /** Sums over the servers in use that are not ejected. */
    double totalLimit;

    int totalInFlight;
    double totalReportedLoad;

    /** Set by a change of an error count, an ejection or the servers in use; cleared by {@link ServerWeights}. */
    boolean weightsStale;

    /** Whether the sums contain this server. What is stuck at one ejected or removed must not hold back the others. */
    boolean isCounted(ServerRecord server) {
        return server.inUse && !server.health.ejected;
    }

    /** Makes the sums anew, after a change of the servers in use or of an ejection. */
    void recount() {
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
