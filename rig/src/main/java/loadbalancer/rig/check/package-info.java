/** Checkers: each reads the history of a run once, forwards, and reports violations of one rule. */
package loadbalancer.rig.check;
