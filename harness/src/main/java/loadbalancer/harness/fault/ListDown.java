package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** Makes discovery unavailable: no node is notified of changes to the endpoint list. */
final class ListDown implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        world.list().setDown(true);
        return new ActiveFault(List.of("list"), () -> world.list().setDown(false));
    }
}
