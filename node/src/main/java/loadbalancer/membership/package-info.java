/**
 * Driver that runs {@link loadbalancer.membership.core the membership protocol} in a process: datagrams and connections
 * with Netty, the system clock, configuration, metrics and log events.
 *
 * <p>Owns the sockets and the event loop of membership. {@link loadbalancer.membership.MembershipService} is the entry
 * point for a process that participates, {@link loadbalancer.membership.MembershipClient} for one that requests a view
 * from outside the fleet.
 *
 * <p>Must not depend on requests, servers or other parts of the node. Makes no decisions about members: those belong to
 * the core. Its classes are loaded only if the configuration has the object {@code fleet}.
 */
package loadbalancer.membership;
