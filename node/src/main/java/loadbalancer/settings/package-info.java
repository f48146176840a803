/**
 * The mapping between the names of settings, on the simulator's wire and in configuration files, and the settings of
 * the balancer. Owns these names ({@code SettingNames}). Independent of files, JSON and the lines of the wire.
 */
package loadbalancer.settings;
