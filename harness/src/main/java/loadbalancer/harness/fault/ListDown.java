package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** Discovery is down: no node hears of any change. */
final class ListDown implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        world.list().setDown(true);
        return new ActiveFault(List.of("list"), () -> world.list().setDown(false));
    }
}
