/**
 * Accepted client connections: HTTP decoding, pipelining, answers. Owns the listening socket and its connections.
 */
package loadbalancer.client;
