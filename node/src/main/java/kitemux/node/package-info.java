/**
 * A proxy node: client connections, upstream connections, discovery, configuration and the control address. It makes
 * no routing decision. Everything runs on one event loop.
 */
package kitemux.node;
