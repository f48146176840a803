/**
 * The kinds of faults that a scenario can inject, one class each.
 *
 * <p>A fault acts on {@link loadbalancer.harness.simulation.Testbed} only. It must not depend on whether a run is
 * simulated or uses processes, nor on the policy.
 */
package loadbalancer.harness.fault;
