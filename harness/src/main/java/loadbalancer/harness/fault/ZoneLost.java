package loadbalancer.harness.fault;

import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** Makes all app servers of one zone unreachable, as {@link Vanish} does; healing starts them again, cold. */
final class ZoneLost implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(world.zones());
        return Vanish.makeUnreachable(
                world,
                world.servers().values().stream().filter(s -> s.zone() == zone).toList());
    }
}
