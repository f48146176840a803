package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a node watches the endpoint list.
 *
 * @param address where the discovery service is; null if there is none, in which case no watch may be opened
 * @param zones the names of the zones, to which the zones of servers refer by index
 * @param initialVersion the version of the list that the node knows at its start
 * @param nodes how many nodes watch the same discovery service
 * @param seed the seed of the random delays
 */
public record WatchConfig(InetSocketAddress address, List<String> zones, long initialVersion, int nodes, long seed) {}
