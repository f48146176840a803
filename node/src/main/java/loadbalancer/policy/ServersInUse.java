package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Applies the choice of {@link SubsetSelector}: initializes servers that come into use, builds the candidate sets for
 * draws, and counts the attempts in flight at each server. Closes idle connections to a server that is no longer in
 * use, because they would occupy connections that nodes which use it need.
 */
final class ServersInUse {
    /** Nodes per server above which one node's requests in flight are a poor measure of a server's load. */
    private static final double MANY_NODES_PER_SERVER = 20;

    private final BalancerState state;
    private final SubsetSelector subsetSelector;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final SplittableRandom random;
    private final BalancerActions actions;

    ServersInUse(
            BalancerState state,
            SubsetSelector subsetSelector,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            SplittableRandom random,
            BalancerActions actions) {
        this.state = state;
        this.subsetSelector = subsetSelector;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.random = random;
        this.actions = actions;
    }

    /**
     * Chooses the servers in use from those available, in list order. The caller must recompute the sums of {@link
     * BalancerState} afterwards.
     */
    void choose(ServerRecord[] available, long nowUs) {
        ServerRecord[] before = state.servers;
        slowStart.onServersChosen(nowUs);
        state.servers = subsetSelector.select(available);
        setNodesPerServer(
                Math.max(1, (double) state.settings.nodes * state.servers.length / Math.max(1, available.length)));
        for (ServerRecord server : before) {
            server.inUse = false;
        }
        for (int position = 0; position < state.servers.length; position++) {
            ServerRecord server = state.servers[position];
            server.position = position;
            server.inUse = true;
            limiter.assignFirstLimit(server, nowUs);
            slowStart.assignFirstSlot(server, random, nowUs);
        }
        for (ServerRecord server : before) {
            closeIfUnused(server);
        }
        state.allServers = weighted(state.servers);
        state.localServers = state.settings.crossZoneCost == 0 ? state.allServers : weighted(localServers());
    }

    /** Sets the number of nodes that send to each server, and the values derived from it. */
    void setNodesPerServer(double nodesPerServer) {
        state.nodesPerServer = nodesPerServer;
        state.manyNodesPerServer = nodesPerServer > MANY_NODES_PER_SERVER;
        limiter.onNodesPerServer(nodesPerServer);
    }

    private ServerRecord[] localServers() {
        return Arrays.stream(state.servers)
                .filter(server -> server.zone == state.settings.localZone)
                .toArray(ServerRecord[]::new);
    }

    private WeightedServers weighted(ServerRecord[] servers) {
        return new WeightedServers(
                servers, state.settings.keyAffinity ? KeyAffinityPicker.buildTable(servers) : new ServerRecord[0]);
    }

    /** Counts an attempt that is sent to a server. */
    void acquire(ServerRecord server) {
        server.inFlight++;
        if (state.isCounted(server)) {
            state.totalInFlight++;
        }
    }

    /** Uncounts an attempt that has ended, or whose remaining duration depends on the client. */
    void release(ServerRecord server) {
        server.inFlight--;
        if (state.isCounted(server)) {
            state.totalInFlight--;
        }
        closeIfUnused(server);
    }

    private void closeIfUnused(ServerRecord server) {
        if (!server.inUse && server.inFlight == 0) {
            actions.closeIdle(server.id);
        }
    }
}
