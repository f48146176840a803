/**
 * Scenario files: their model, their reader and its errors, and the conversion of the operators' day files.
 *
 * <p>Owns the keys of the files. Knows nothing of runs; which kinds of faults there are is passed in.
 */
package loadbalancer.harness.scenario;
