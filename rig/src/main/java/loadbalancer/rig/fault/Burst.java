package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.World;

/** Clients ask {@code size} times as much. */
final class Burst implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        world.burst(spec.size());
        return new ActiveFault(List.of("clients"), () -> world.burst(1));
    }
}
