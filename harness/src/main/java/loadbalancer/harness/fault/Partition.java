package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/**
 * One zone is cut off from the others, both ways, or with {@code size} 2 only outwards; all in it goes on.
 */
final class Partition implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(world.zones());
        cut(world, zone, spec.size() == 2, true);
        return new ActiveFault(
                List.of(world.scenario().fleet().zones().get(zone)), () -> cut(world, zone, spec.size() == 2, false));
    }

    private static void cut(World world, int zone, boolean outwards, boolean off) {
        for (int other = 0; other < world.zones(); other++) {
            if (other != zone) {
                world.links().setCut(zone, other, off);
                if (!outwards) {
                    world.links().setCut(other, zone, off);
                }
            }
        }
    }
}
