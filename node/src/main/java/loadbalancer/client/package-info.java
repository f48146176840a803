/**
 * Accepted client connections: HTTP decoding, pipelining, responses. It owns the listening socket and the client's
 * connections. It must not know of servers, attempts or the balancer: whoever handles a request is an interface here.
 */
package loadbalancer.client;
