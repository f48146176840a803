package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** Operators take a part of the app servers out by hand at every node, and let them in again. */
final class Cordoned implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        set(world, targets, true);
        return ActiveFault.servers(targets, () -> set(world, targets, false));
    }

    private static void set(World world, List<AppServer> targets, boolean out) {
        world.nodes().forEach(node -> targets.forEach(server -> node.setCordoned(server.id(), out)));
    }
}
