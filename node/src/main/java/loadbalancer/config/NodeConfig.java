package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.Set;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.WatchConfig;
import loadbalancer.membership.MembershipConfig;
import loadbalancer.policy.BalancerSettings;

/**
 * The configuration of a node, from its environment and its configuration file. {@link NodeConfigReader} reads it at
 * startup, {@link ReloadedConfigReader} on a reload.
 *
 * @param listenAddress the address on which clients connect
 * @param discoveryAddress the address of the discovery service; null for a node without one
 * @param seed the seed of all random numbers; differs at each start
 * @param maxSockets the maximum number of file descriptors that the process may hold
 * @param serverIdleTimeoutUs the time after which servers close idle connections
 * @param initialEndpoints the endpoint list at startup, which may be outdated
 * @param settings the settings of the balancer
 * @param configuredKeys the dotted names of all keys in the file, except for the endpoint list
 * @param operations the configuration of the node's operations
 * @param membership the configuration of the membership in a fleet; null if the node takes part in none
 */
public record NodeConfig(
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        int maxSockets,
        long serverIdleTimeoutUs,
        EndpointList initialEndpoints,
        BalancerSettings settings,
        Set<String> configuredKeys,
        OperationsConfig operations,
        MembershipConfig membership) {

    /** Returns the configuration of the watch on the endpoint list. */
    public WatchConfig watchConfig() {
        return new WatchConfig(discoveryAddress, settings.zones, initialEndpoints.version(), settings.nodes, seed);
    }

    /**
     * Returns the configuration of a node that serves the same classes and tenants from the given servers only. It
     * listens on the same IP address with an ephemeral port. It has no discovery service, no control address, no shared
     * folder, no inherited listener and no membership.
     */
    public NodeConfig isolated(EndpointList servers) {
        BalancerSettings isolated = new BalancerSettings();
        isolated.zones.addAll(settings.zones);
        isolated.classes.addAll(settings.classes);
        isolated.tenants.addAll(settings.tenants);
        isolated.maxAttempts = settings.maxAttempts;
        isolated.cancellation = settings.cancellation;
        return new NodeConfig(
                new InetSocketAddress(listenAddress.getAddress(), 0),
                null,
                seed,
                maxSockets,
                serverIdleTimeoutUs,
                servers,
                isolated,
                Set.of(),
                OperationsConfig.NONE,
                null);
    }
}
