package loadbalancer.discovery;

import java.net.InetSocketAddress;
import loadbalancer.policy.ServerEntry;

/**
 * One app server of an endpoint list. Immutable.
 *
 * @param server what the policy learns of the server
 * @param address where the server listens; null if the server is gone
 */
public record Endpoint(ServerEntry server, InetSocketAddress address) {}
