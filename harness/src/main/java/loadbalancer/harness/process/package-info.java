/**
 * Runs with real processes on loopback: node processes, fake app servers and lists, links that inject faults, and
 * fleets of members.
 *
 * <p>Owns sockets, processes and real time. The models of {@link loadbalancer.harness.simulation} decide how the fakes
 * behave.
 */
package loadbalancer.harness.process;
