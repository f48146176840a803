/**
 * Client connections: accepting, HTTP decoding, pipelining, and writing responses.
 *
 * <p>Owns the listening socket and the client connections. Must not depend on upstream servers, attempts or the
 * balancer: requests are passed to {@link loadbalancer.client.ClientServer.RequestHandler}.
 */
package loadbalancer.client;
