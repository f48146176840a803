/**
 * Models of app servers, clients, the front, the endpoint list and the network, and the simulated node.
 *
 * <p>All models are scheduled on a {@link loadbalancer.harness.time.Timeline}: simulated time, or the system's time in
 * a run with processes. This package must not use sockets, threads or the system's clock, so that a simulated run with
 * the same seed produces the same history.
 */
package loadbalancer.harness.simulation;
