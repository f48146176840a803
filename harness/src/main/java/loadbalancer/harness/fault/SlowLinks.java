package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Adds {@code size} milliseconds of delay in each direction between the nodes and a part of the app servers. */
final class SlowLinks implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        targets.forEach(server -> testbed.links().setExtraDelay(server, Math.round(spec.size() * 1_000)));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> testbed.links().setExtraDelay(server, 0)));
    }
}
