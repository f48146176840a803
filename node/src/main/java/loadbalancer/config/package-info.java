/**
 * The configuration file of a node: reading, validation, and the registry of request classes over reloads. Owns the
 * mapping from file keys to typed values; knows nothing of sockets in use.
 */
package loadbalancer.config;
