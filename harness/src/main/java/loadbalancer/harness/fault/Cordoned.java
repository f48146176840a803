package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** Cordons a part of the app servers at every node; healing ends the cordons. */
final class Cordoned implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        setCordoned(world, targets, true);
        return ActiveFault.servers(targets, () -> setCordoned(world, targets, false));
    }

    private static void setCordoned(World world, List<AppServer> targets, boolean cordoned) {
        world.nodes().forEach(node -> targets.forEach(server -> node.setCordoned(server.id(), cordoned)));
    }
}
