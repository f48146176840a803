package loadbalancer.harness.fault;

import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** All app servers of one zone fall silent, and come back cold. */
final class ZoneLost implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(world.zones());
        return Vanish.silence(
                world,
                world.servers().values().stream().filter(s -> s.zone() == zone).toList());
    }
}
