/** The event loop, and the measurement of how far it lags behind its sockets. */
package loadbalancer.eventloop;
