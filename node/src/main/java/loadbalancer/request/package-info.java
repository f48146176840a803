/** What ties a client request to its upstream attempts, and the queue of events to the balancer. */
package loadbalancer.request;
