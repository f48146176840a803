package loadbalancer.harness.fault;

import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/** Makes all app servers of one zone unreachable, as {@link Vanish} does; healing starts them again, cold. */
final class ZoneLost implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        int zone = random.nextInt(testbed.zones());
        return Vanish.makeUnreachable(
                testbed,
                testbed.servers().values().stream()
                        .filter(s -> s.zone() == zone)
                        .toList());
    }
}
