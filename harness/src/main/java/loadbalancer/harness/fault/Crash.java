package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Kills the processes of a part of the app servers; healing starts them again, cold. */
final class Crash implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        targets.forEach(testbed::killServer);
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(server -> !server.isUp()).forEach(testbed::startServer));
    }
}
