/** The events of a run, one JSON line each, and sums over them. */
package loadbalancer.harness.history;
