package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Drops all that a part of the app servers send. They still receive requests and work on them. */
final class LostResponses implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        targets.forEach(server -> testbed.links().setMuted(server, true));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> testbed.links().setMuted(server, false)));
    }
}
