/**
 * Models of app servers, clients, front, endpoint list and network, and the simulated node.
 *
 * <p>Owns what happens between the parts of a fleet, in whichever time it is given: simulated, or that of a run with
 * real processes. Must not know sockets, threads or the system's time: one seed gives one history.
 */
package loadbalancer.harness.simulation;
