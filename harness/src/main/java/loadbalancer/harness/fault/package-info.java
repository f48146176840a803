/**
 * Kinds of faults that a scenario may inject, one small class each.
 *
 * <p>A fault acts on {@link loadbalancer.harness.simulation.World} only; it must not know whether a run is
 * simulated, nor which policy decides.
 */
package loadbalancer.harness.fault;
