/** The clock, the log and the budget of sockets, shared by all parts of a node. */
package loadbalancer.common;
