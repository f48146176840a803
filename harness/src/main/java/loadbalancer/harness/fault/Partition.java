package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/**
 * Partitions one zone from the others, in both directions, or with {@code size} 2 only the traffic out of it. Traffic
 * within the zone is not affected.
 */
final class Partition implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(world.zones());
        setPartitioned(world, zone, spec.size() == 2, true);
        return new ActiveFault(
                List.of(world.scenario().fleet().zones().get(zone)),
                () -> setPartitioned(world, zone, spec.size() == 2, false));
    }

    private static void setPartitioned(World world, int zone, boolean outboundOnly, boolean partitioned) {
        for (int other = 0; other < world.zones(); other++) {
            if (other != zone) {
                world.links().setCut(zone, other, partitioned);
                if (!outboundOnly) {
                    world.links().setCut(other, zone, partitioned);
                }
            }
        }
    }
}
