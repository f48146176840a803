/**
 * The decisions of a load-balancing node: which server gets an attempt, whether a request is retried, deferred or
 * rejected, and which servers are left out. Pure computation: no threads, sockets, files or clocks.
 */
package loadbalancer.policy;
