/**
 * The endpoint list of the discovery service: its values, its decoding, and the watch that keeps it up to date. Owns
 * the watch connections and the words of the protocol. Knows nothing of the node's configuration file, of connections
 * to servers, or of what the policy makes of a list.
 */
package loadbalancer.discovery;
