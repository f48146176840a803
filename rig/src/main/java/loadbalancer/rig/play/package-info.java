/** Runs of scenarios: one seed, many seeds, shrinking and comparing. */
package loadbalancer.rig.play;
