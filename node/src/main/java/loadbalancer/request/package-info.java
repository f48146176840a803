/**
 * Connects clients' requests to upstream attempts: the table of open requests, one object for each request and each
 * attempt, health checks, and the queue of events to the balancer.
 *
 * <p>Owns the final response to each request. Must not make decisions about requests, which are the balancer's, or
 * parse data from sockets.
 */
package loadbalancer.request;
