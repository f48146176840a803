/** The one mapping between the names of settings on the wire and in files and the settings of the balancer. */
package loadbalancer.settings;
