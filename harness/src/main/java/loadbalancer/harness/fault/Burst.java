package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/** Multiplies the load of the clients by {@code size}. */
final class Burst implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        testbed.setLoadFactor(spec.size());
        return new ActiveFault(List.of("clients"), () -> testbed.setLoadFactor(1));
    }
}
