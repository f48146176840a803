package loadbalancer.harness.fault;

import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** A kind of fault that can be injected into a world. One small class each; {@link Faults} names them. */
public interface Fault {

    /**
     * Injects the fault into the world.
     *
     * @param spec when, how hard and where, as the scenario has it
     * @param random the stream of this fault alone
     * @return the targets, and what heals them
     */
    ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random);
}
