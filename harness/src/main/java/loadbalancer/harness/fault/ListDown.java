package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/** Makes discovery unavailable: no node is notified of changes to the endpoint list. */
final class ListDown implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        testbed.list().setDown(true);
        return new ActiveFault(List.of("list"), () -> testbed.list().setDown(false));
    }
}
