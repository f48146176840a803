/**
 * The process of a node: the steps of its start, its signals, warm-up, reload and graceful shutdown, and the wiring
 * of all parts.
 *
 * <p>Owns the order of the start and of the end, and the event loop on which all parts run. May use every other
 * package, but for the simulator's; no other package uses this one. Decides nothing about requests and servers: that
 * is the policy's.
 */
package loadbalancer.process;
