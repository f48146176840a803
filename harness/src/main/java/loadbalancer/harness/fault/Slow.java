package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Makes a part of the app servers work {@code size} times slower. */
final class Slow implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        targets.forEach(server -> server.setSlowdown(Math.max(1, spec.size())));
        return ActiveFault.servers(targets, () -> targets.forEach(server -> server.setSlowdown(1)));
    }
}
