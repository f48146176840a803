package loadbalancer.rig.fault;

import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.World;

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
