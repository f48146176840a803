package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Selects the servers that this node uses. Takes effect when more than {@link #NODES_PER_SERVER} nodes would share each
 * server: connections are limited and cost work at both ends, and the more servers a node uses, the fewer responses it
 * gets from each. Where crossing zones has a cost, the subset consists of servers of the local zone, and of other zones
 * at most half as many or {@link #MIN_SUBSET_SIZE}, whichever is more.
 *
 * <p>Servers claim entries in a {@link MaglevTable}, and node i uses the servers of row i modulo the number of rows.
 * All servers get about equally many nodes, all nodes compute the same table, and a change of the list moves few
 * entries.
 *
 * <p>Trade-off: a node whose few servers all fail has no others.
 */
final class SubsetSelector {
    /**
     * Target number of nodes that share a server: enough for their loads to add up evenly, few enough for each to get
     * many responses.
     */
    private static final int NODES_PER_SERVER = 24;
    /**
     * Minimum number of servers that a node uses, where that keeps within {@link #MAX_NODES_PER_SERVER}: one may fail
     * while another hangs.
     */
    private static final int MIN_SUBSET_SIZE = 4;
    /**
     * Table entries per server at which the number of rows stops growing: enough for all servers to have about equally
     * many.
     */
    private static final int MIN_ENTRIES_PER_SERVER = 4;
    /** Minimum number of servers with one zone, even above {@link #MAX_NODES_PER_SERVER}: one may fail. */
    private static final int MIN_SERVERS_OF_ONE_ZONE = 2;
    /** Minimum number of servers of the node's own zone, and of all other zones together, with several zones. */
    private static final int MIN_SERVERS_OF_EACH_SIDE = 1;
    /**
     * Nodes that may share a server when subsets are enlarged to {@link #MIN_SUBSET_SIZE}; more would exceed the limit
     * of connections.
     */
    private static final int MAX_NODES_PER_SERVER = 2 * NODES_PER_SERVER;
    /**
     * Servers of the own zone per server of other zones, unless that allows fewer than {@link #MIN_SUBSET_SIZE} of the
     * latter, which are used only if the own zone's servers do not suffice.
     */
    private static final int LOCAL_PER_REMOTE = 2;

    private final BalancerState state;
    private int localSubsetSize;

    SubsetSelector(BalancerState state) {
        this.state = state;
    }

    /** Returns the candidates that this node uses, in the given order. */
    ServerRecord[] select(ServerRecord[] candidates) {
        Set<ServerRecord> used = new HashSet<>(subsets(candidates));
        return Arrays.stream(candidates).filter(used::contains).toArray(ServerRecord[]::new);
    }

    private List<ServerRecord> subsets(ServerRecord[] candidates) {
        BalancerSettings settings = state.settings;
        int zones = settings.crossZoneCost == 0 ? 1 : Math.max(1, settings.zones.size());
        ServerRecord[] local = Arrays.stream(candidates)
                .filter(server -> zones == 1 || server.zone == settings.localZone)
                .toArray(ServerRecord[]::new);
        ServerRecord[] remote = Arrays.stream(candidates)
                .filter(server -> zones > 1 && server.zone != settings.localZone)
                .toArray(ServerRecord[]::new);
        int minLocal = zones == 1 ? MIN_SERVERS_OF_ONE_ZONE : MIN_SERVERS_OF_EACH_SIDE;
        int localSize = subsetSize(local.length, (double) settings.nodes / zones, minLocal);
        int remoteSize = subsetSize(remote.length, settings.nodes, MIN_SERVERS_OF_EACH_SIDE);
        if (localSize == local.length && remoteSize == remote.length) {
            return Arrays.asList(candidates);
        }
        keepSizeUnlessDoubledOrHalved(localSize);
        List<ServerRecord> used = new ArrayList<>(subset(local, Math.min(local.length, localSubsetSize)));
        used.addAll(
                subset(remote, Math.min(remoteSize, Math.max(MIN_SUBSET_SIZE, localSubsetSize / LOCAL_PER_REMOTE))));
        return used;
    }

    /** Keeps the size unless it is doubled or halved, because a change of the table's length moves all entries. */
    private void keepSizeUnlessDoubledOrHalved(int newSize) {
        boolean withinFactorOfTwo = 2 * newSize > localSubsetSize && newSize < 2 * localSubsetSize;
        localSubsetSize = withinFactorOfTwo ? localSubsetSize : newSize;
    }

    private static int subsetSize(int servers, double nodes, int atLeast) {
        int minSize = (int) Math.max(atLeast, Math.min(MIN_SUBSET_SIZE, MAX_NODES_PER_SERVER * servers / nodes));
        return Math.min(servers, Math.max(minSize, (int) Math.ceil(NODES_PER_SERVER * servers / nodes)));
    }

    /**
     * Returns the servers of this node's row of the table. There are at most as many rows as nodes; one row for every
     * node would make the table expensive.
     */
    private List<ServerRecord> subset(ServerRecord[] candidates, int size) {
        if (size == candidates.length) {
            return Arrays.asList(candidates);
        }
        int rows = 1;
        while (2 * rows <= state.settings.nodes && rows * size < MIN_ENTRIES_PER_SERVER * candidates.length) {
            rows *= 2;
        }
        ServerRecord[] table = MaglevTable.build(candidates, rows * size, size);
        int first = state.settings.nodeIndex % rows * size;
        return Arrays.stream(table, first, first + size)
                .filter(Objects::nonNull)
                .toList();
    }
}
