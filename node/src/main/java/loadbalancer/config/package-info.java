/**
 * The configuration of a node: reading the file and the environment, validation, reloads, and the registry of request
 * classes over reloads. Owns the names of keys and variables and their mapping to typed values; knows nothing of
 * sockets, the event loop, or what the values are used for.
 */
package loadbalancer.config;
