package loadbalancer.discovery;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The configuration of an {@link EndpointWatcher}.
 *
 * @param address the address of the discovery service; null if there is none, in which case no watch may be opened
 * @param zones the zone names, to which the zones of servers refer by index
 * @param initialVersion the version of the list that the node has at startup
 * @param nodes the number of nodes that watch the same discovery service
 * @param seed the seed of the random reconnect delays
 */
public record WatchConfig(InetSocketAddress address, List<String> zones, long initialVersion, int nodes, long seed) {}
