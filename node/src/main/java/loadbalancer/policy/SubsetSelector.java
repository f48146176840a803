package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Which part of the servers this node uses. Acts when more than {@link #NODES_PER_SERVER} nodes would share each
 * server: connections are capped and cost work at both ends, and the more servers a node uses, the fewer answers it
 * sees of each. Servers in the node's own zone come first where crossing zones costs.
 *
 * <p>Each server takes places in a {@link MaglevTable}, and node i uses the servers of row i modulo the number of
 * rows: all servers get about equally many nodes, all nodes find the same table, and a change of the list moves few
 * places.
 *
 * <p>Harm: a node whose few servers all fail has no others. Single-threaded; no I/O.
 */
final class SubsetSelector {
    /** Nodes that share a server: many, so that their loads add up evenly; few, so that each sees many answers. */
    private static final int NODES_PER_SERVER = 24;
    /** Least servers that a node uses, where there are as many: one may fail and another hang. */
    private static final int MIN_SUBSET_SIZE = 4;
    /** Least places in the table for each server, so that all have about equally many. */
    private static final int MIN_PLACES_PER_SERVER = 4;
    /** Least servers, however few there are, where there is one zone: one may fail. */
    private static final int MIN_SERVERS_OF_ONE_ZONE = 2;
    /** Least servers of the own zone, and of all others, where there are several. */
    private static final int MIN_SERVERS_OF_EACH_SIDE = 1;
    /** Most nodes that share a server: more would exceed the cap on connections. */
    private static final int MAX_NODES_PER_SERVER = 2 * NODES_PER_SERVER;
    /** Servers of the own zone to each of another: these are used only where the own zone's do not suffice. */
    private static final int LOCAL_PER_REMOTE = 2;

    private final BalancerState state;
    private int localSubsetSize;

    SubsetSelector(BalancerState state) {
        this.state = state;
    }

    /** The candidates that this node uses, in the order given. */
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
        int leastLocal = zones == 1 ? MIN_SERVERS_OF_ONE_ZONE : MIN_SERVERS_OF_EACH_SIDE;
        int localSize = subsetSize(local.length, (double) settings.nodes / zones, leastLocal);
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

    /** The size decides the table's length: with each change of it, all places move. */
    private void keepSizeUnlessDoubledOrHalved(int newSize) {
        boolean near = 2 * newSize > localSubsetSize && newSize < 2 * localSubsetSize;
        localSubsetSize = near ? localSubsetSize : newSize;
    }

    private static int subsetSize(int servers, double nodes, int atLeast) {
        int least = (int) Math.max(atLeast, Math.min(MIN_SUBSET_SIZE, MAX_NODES_PER_SERVER * servers / nodes));
        return Math.min(servers, Math.max(least, (int) Math.ceil(NODES_PER_SERVER * servers / nodes)));
    }

    /** This node's row of the table. Rows are fewer than nodes: a row for each would make the table costly. */
    private List<ServerRecord> subset(ServerRecord[] from, int size) {
        if (size == from.length) {
            return Arrays.asList(from);
        }
        int rows = 1;
        while (2 * rows <= state.settings.nodes && rows * size < MIN_PLACES_PER_SERVER * from.length) {
            rows *= 2;
        }
        ServerRecord[] table = MaglevTable.build(from, rows * size, size);
        int first = state.settings.nodeIndex % rows * size;
        return Arrays.stream(table, first, first + size)
                .filter(Objects::nonNull)
                .toList();
    }
}
