/**
 * The clock, the log and the socket budget that all parts of a node share.
 *
 * <p>Every other package may use this one. It uses no other package of the node.
 */
package loadbalancer.common;
