/**
 * Runs {@link loadbalancer.membership.core the membership protocol} in a process: datagrams and connections by Netty,
 * time by the system, and its configuration, metrics and log events.
 *
 * <p>Owns the sockets and the event loop of membership. {@link loadbalancer.membership.MembershipService} is the entry
 * for a process that takes part, {@link loadbalancer.membership.MembershipClient} for one that asks from outside.
 *
 * <p>Must not know requests, servers or anything else of the node, and decides nothing about members: that is the
 * core's. Classes of it are loaded only where a configuration has the object {@code fleet}.
 */
package loadbalancer.membership;
