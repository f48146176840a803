/** Bodies that are too large to be gathered, and the flow control between the two sides of a transfer. */
package loadbalancer.transfer;
