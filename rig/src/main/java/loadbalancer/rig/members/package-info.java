/**
 * Fleets that run the membership protocol in simulated time ({@link loadbalancer.rig.members.SimulatedFleet}), a study
 * of its cost and speed ({@link loadbalancer.rig.members.MembershipStudy}), and a check of all orders of events of a
 * very small fleet ({@link loadbalancer.rig.members.ModelCheck}).
 *
 * <p>Must not know sockets, threads or the system's time: one seed comes to one result.
 */
package loadbalancer.rig.members;
