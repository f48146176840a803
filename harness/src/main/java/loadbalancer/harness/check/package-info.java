/**
 * Checkers: each reads the history of a run once, forwards, and reports violations of one rule.
 *
 * <p>A checker knows events only, never the parts of a run: a history that was stored is judged as one that is running.
 */
package loadbalancer.harness.check;
