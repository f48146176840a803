package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/**
 * Makes the machines of a part of the app servers unreachable while their connections stay open; healing starts the
 * servers again, cold.
 */
final class Vanish implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        return makeUnreachable(testbed, testbed.faultTargets(spec, random));
    }

    static ActiveFault makeUnreachable(Testbed testbed, List<AppServer> targets) {
        for (AppServer server : targets) {
            server.becomeUnreachable();
            testbed.list().remove(server.id(), false, true);
        }
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(AppServer::isUnreachable).forEach(testbed::startServer));
    }
}
