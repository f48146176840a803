/**
 * The endpoint list of the discovery service: its data types, its decoder, and the watch that keeps it up to date. Owns
 * the watch connections and the names of the JSON fields ({@link loadbalancer.discovery.EndpointListDecoder}).
 * Independent of the node's configuration file, of connections to servers, and of how the policy uses a list.
 */
package loadbalancer.discovery;
