/**
 * Streaming of bodies that are too large to be buffered: flow control between a source and a sink, and size limits.
 *
 * <p>Must not depend on client or server connections.
 */
package loadbalancer.transfer;
