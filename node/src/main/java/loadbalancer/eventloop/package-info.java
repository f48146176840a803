/**
 * The event loop of a node, and the measurement of how far it lags behind what has come to its sockets.
 *
 * <p>Owns how the loop waits (its polls and timers) and what it says about stalls. Knows nothing of what runs on the
 * loop.
 */
package loadbalancer.eventloop;
