/**
 * What ties a client's request to its upstream attempts: the table of open requests, one object for each request and
 * each attempt, health checks, and the queue of events to the balancer. It owns the one final response to each
 * request. It must not decide anything about a request or parse anything from a socket.
 */
package loadbalancer.request;
