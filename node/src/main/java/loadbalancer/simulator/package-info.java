/**
 * The adapter to the simulator: translates its line protocol into calls of the policy, and the policy's actions back.
 * Owns the words of that protocol. Knows nothing of sockets, the event loop, or the other packages of a node but the
 * settings.
 */
package loadbalancer.simulator;
