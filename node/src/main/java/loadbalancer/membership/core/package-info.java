/**
 * The membership protocol: which processes of a fleet are alive, suspected, dead or have left. A SWIM-family protocol
 * (pings, indirect pings, suspicion, gossip) with Lifeguard's local health and with state syncs, as a state machine.
 *
 * <p>Owns the view of the fleet and every decision about it. {@link MembershipProtocol} is the entry; each other class
 * is one concept of the protocol.
 *
 * <p>Must not know sockets, bytes, threads, clocks, files, logs, metrics, or randomness other than its seed: events
 * come with their time, and {@link MembershipActions} says what is to be done. So the same code runs in simulated time.
 *
 * <p>Not thread-safe: all calls of one {@link MembershipProtocol} come from one thread. Times are microseconds, whose
 * differences alone count; an incarnation's generation is Unix time.
 */
package loadbalancer.membership.core;
