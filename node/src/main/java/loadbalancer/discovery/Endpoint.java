package loadbalancer.discovery;

import java.net.InetSocketAddress;
import loadbalancer.policy.ServerEntry;

/**
 * An app server in an endpoint list. Immutable.
 *
 * @param server the description of the server that is passed to the balancer
 * @param address the address on which the server listens; null if its state is {@code GONE}
 */
public record Endpoint(ServerEntry server, InetSocketAddress address) {}
