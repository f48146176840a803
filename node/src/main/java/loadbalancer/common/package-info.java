/**
 * The clock, the log and the budget of sockets, shared by all parts of a node.
 *
 * <p>Knows nothing of requests, servers or the policy: every other package may use this one, and this one uses none.
 */
package loadbalancer.common;
