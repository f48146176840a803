/**
 * The configuration of a node: reading the file and the environment, validation, reloads, and the registry of request
 * classes across reloads. Owns the names of keys and environment variables and their mapping to typed values.
 * Independent of sockets, of the event loop, and of how the values are used.
 */
package loadbalancer.config;
