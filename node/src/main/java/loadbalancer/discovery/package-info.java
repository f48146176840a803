/**
 * The endpoint list: the watch on the discovery service and the framing of its documents. Owns the watch connections.
 */
package loadbalancer.discovery;
