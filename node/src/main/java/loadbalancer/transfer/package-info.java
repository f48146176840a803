/**
 * Bodies that are too large to be buffered, the flow control between the two sides of a transfer, and the sizes that
 * bound it. It knows neither clients nor servers, only a source and a sink.
 */
package loadbalancer.transfer;
