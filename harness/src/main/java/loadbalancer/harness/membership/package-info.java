/**
 * Fleets that run the membership protocol in simulated time
 * ({@link loadbalancer.harness.membership.SimulatedFleet}), a study of its load and speed
 * ({@link loadbalancer.harness.membership.MembershipStudy}), and a check of all orders of events of a very small fleet
 * ({@link loadbalancer.harness.membership.ModelCheck}).
 *
 * <p>Single-threaded; must not use sockets, threads or the system's time, so that a seed always gives the same result.
 */
package loadbalancer.harness.membership;
