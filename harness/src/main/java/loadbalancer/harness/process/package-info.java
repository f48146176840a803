/**
 * Runs with real processes on loopback: node processes, fake app servers and endpoint lists, links that inject faults,
 * and fleets of members.
 *
 * <p>Owns sockets, processes and the system's clock. The models of {@link loadbalancer.harness.simulation} determine
 * the behaviour of the fakes.
 */
package loadbalancer.harness.process;
