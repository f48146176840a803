package loadbalancer.config;

import java.net.InetSocketAddress;
import java.util.Set;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.WatchConfig;
import loadbalancer.membership.MembershipConfig;
import loadbalancer.policy.BalancerSettings;

/**
 * The configuration of a node, by its environment and its configuration file. {@link NodeConfigReader} reads it at the
 * start, {@link ReloadedConfigReader} while the node runs.
 *
 * @param listenAddress where clients connect
 * @param discoveryAddress where the discovery service gives the endpoint list; null for a node without one
 * @param seed the seed of all random numbers, another one at each start
 * @param maxSockets how many file descriptors the process may hold
 * @param serverIdleTimeoutUs after which time servers close idle connections
 * @param initialEndpoints the endpoint list as this node last knew it
 * @param settings the settings of the balancer
 * @param configuredKeys the dotted names of all keys in the file, but for the endpoint list
 * @param operations what the node is given for operators
 * @param membership how the process takes part in a fleet; null if it is in none
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

    /** How the node watches the endpoint list. */
    public WatchConfig watchConfig() {
        return new WatchConfig(discoveryAddress, settings.zones, initialEndpoints.version(), settings.nodes, seed);
    }

    /**
     * The configuration of a node that serves the same classes and tenants from these servers only: it listens on any
     * port of the same address, and has neither discovery service nor operators nor fleet.
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
