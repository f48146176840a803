/**
 * Scenario files: their model, their reader and its errors, and the conversion of day files of the platform's
 * simulator.
 *
 * <p>This package defines the keys of the files. It does not depend on runs; the kinds of faults are passed in.
 */
package loadbalancer.harness.scenario;
