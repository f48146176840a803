/** Runs of scenarios: one seed, many seeds, shrinking and comparing. */
package loadbalancer.harness.run;
