package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Cordons a part of the app servers at every node; healing ends the cordons. */
final class Cordoned implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        setCordoned(testbed, targets, true);
        return ActiveFault.servers(targets, () -> setCordoned(testbed, targets, false));
    }

    private static void setCordoned(Testbed testbed, List<AppServer> targets, boolean cordoned) {
        testbed.nodes().forEach(node -> targets.forEach(server -> node.setCordoned(server.id(), cordoned)));
    }
}
