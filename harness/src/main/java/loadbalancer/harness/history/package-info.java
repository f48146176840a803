/** The history of a run: its events, one line of JSON each, and a digest over them. */
package loadbalancer.harness.history;
