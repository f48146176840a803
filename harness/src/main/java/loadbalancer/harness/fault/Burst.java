package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** Multiplies the load of the clients by {@code size}. */
final class Burst implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        world.setLoadFactor(spec.size());
        return new ActiveFault(List.of("clients"), () -> world.setLoadFactor(1));
    }
}
