/**
 * Checkers: each reads the history of a run once, in order, and reports violations of one rule.
 *
 * <p>A checker depends on events only, not on the objects of a run. A stored history is therefore checked like that of
 * a run in progress.
 */
package loadbalancer.harness.check;
