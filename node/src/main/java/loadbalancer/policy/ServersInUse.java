package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Puts the choice of {@link SubsetSelector} into effect: what each server is given when its use begins, what is drawn
 * from, and the attempts in flight at each. Connections to a server that is no longer in use are closed, since they
 * would take the places of nodes that do use it. Single-threaded; no I/O.
 */
final class ServersInUse {
    /** Nodes that send to a server above which one node's requests in flight show little of the server's load. */
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

    /** Chooses anew from the servers that are available, in list order. The sums are the caller's to make anew. */
    void choose(ServerRecord[] available, long nowUs) {
        ServerRecord[] before = state.servers;
        slowStart.onServersChosen(nowUs);
        state.servers = subsetSelector.select(available);
        shareAmong(Math.max(1, (double) state.settings.nodes * state.servers.length / Math.max(1, available.length)));
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

    /** Sets how many nodes send to each server, and what follows from that. */
    void shareAmong(double nodesPerServer) {
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
                servers, state.settings.keyAffinity ? KeyAffinityPicker.placesOf(servers) : new ServerRecord[0]);
    }

    /** An attempt is sent there. */
    void acquire(ServerRecord server) {
        server.inFlight++;
        if (state.isCounted(server)) {
            state.totalInFlight++;
        }
    }

    /** An attempt there ended, or needs no more of the server's work. */
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
