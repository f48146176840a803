package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/**
 * Partitions one zone from the others, in both directions, or with {@code size} 2 only the traffic out of it. Traffic
 * within the zone is not affected.
 */
final class Partition implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(testbed.zones());
        setPartitioned(testbed, zone, spec.size() == 2, true);
        return new ActiveFault(
                List.of(testbed.scenario().fleet().zones().get(zone)),
                () -> setPartitioned(testbed, zone, spec.size() == 2, false));
    }

    private static void setPartitioned(Testbed testbed, int zone, boolean outboundOnly, boolean partitioned) {
        for (int other = 0; other < testbed.zones(); other++) {
            if (other != zone) {
                testbed.links().setBlocked(zone, other, partitioned);
                if (!outboundOnly) {
                    testbed.links().setBlocked(other, zone, partitioned);
                }
            }
        }
    }
}
