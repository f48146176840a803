/**
 * Membership protocol: decides which processes of a fleet are alive, suspected, dead or have left. A SWIM-family
 * protocol (pings, indirect pings, suspicion, gossip) with Lifeguard's local health and with state syncs, implemented
 * as a state machine.
 *
 * <p>Owns the local view of the fleet and every decision about it. {@link MembershipProtocol} is the entry point. Each
 * other class implements one concept of the protocol.
 *
 * <p>A failure goes through these steps:
 *
 * <ol>
 *   <li>{@link FailureDetector} probes one member per period. It suspects a member whose ack does not arrive by the end
 *       of the period, neither directly nor through other members.
 *   <li>The suspicion is gossiped. Each other member that suspects the same incarnation confirms the suspicion and
 *       shortens its timeout: see {@link Suspicion}.
 *   <li>The suspected member refutes the suspicion by announcing itself alive in a higher incarnation: see
 *       {@link Refutation}.
 *   <li>A member that has not refuted the suspicion by the end of the timeout is dead.
 *   <li>A dead or left member is remembered as a tombstone for {@link MembershipSettings#tombstoneRetentionUs}, so that
 *       a late update does not bring it back: see {@link TombstoneRetention}.
 *   <li>{@link PartitionRepair} pings dead members meanwhile. A ping of a dead member carries the record of its death,
 *       as does the ack to a ping from one. A member that learns that it is considered dead refutes that like a
 *       suspicion. The others then record it as alive again and notify their listeners that it has joined.
 * </ol>
 *
 * <p>Must not depend on sockets, encodings, threads, clocks, files, logs, metrics, or on randomness other than its
 * seed. Each event carries its time, and all effects go through {@link MembershipActions}, so that the same code runs
 * in simulated time.
 *
 * <p>Not thread-safe: all calls of one {@link MembershipProtocol} come from one thread. Times are in microseconds, and
 * only their differences matter. The generation of an incarnation is Unix time in microseconds.
 */
package loadbalancer.membership.core;
