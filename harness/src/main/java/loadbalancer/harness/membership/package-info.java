/**
 * Fleets that run the membership protocol in simulated time
 * ({@link loadbalancer.harness.membership.SimulatedFleet}), a study of its cost and speed
 * ({@link loadbalancer.harness.membership.MembershipStudy}), and a check of all orders of events of a very small fleet
 * ({@link loadbalancer.harness.membership.ModelCheck}).
 *
 * <p>Must not know sockets, threads or the system's time: one seed comes to one result.
 */
package loadbalancer.harness.membership;
