package loadbalancer.harness.fault;

import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/** A kind of fault that can be injected into a run. {@link Faults} maps the names of the kinds. */
public interface Fault {

    /**
     * Injects the fault.
     *
     * @param spec time, size and targets, from the scenario
     * @param random the random numbers of this fault only
     * @return the targets and the action that ends the fault
     */
    ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random);
}
