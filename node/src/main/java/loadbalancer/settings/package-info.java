/**
 * The one mapping between the names of settings, on the simulator's wire and in configuration files, and the settings
 * of the balancer. Owns those names; knows nothing of files, JSON or the wire's lines.
 */
package loadbalancer.settings;
