/**
 * The adapter to the simulator: translates its line protocol into calls to the policy, and the policy's actions back.
 * Owns the names of that protocol: the lines, fields and values ({@code WireNames}) and the events ({@code EventType}).
 * Uses no other packages of a node except the policy and the settings. Single-threaded.
 */
package loadbalancer.simulator;
