/** Runs of scenarios: with one seed, with many seeds, shrinking a scenario, and comparing two variants. */
package loadbalancer.harness.run;
