package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** Operators take a part of the app servers out by hand at every node, and let them in again. */
final class Cordoned implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        set(world, struck, true);
        return ActiveFault.servers(struck, () -> set(world, struck, false));
    }

    private static void set(World world, List<AppServer> struck, boolean out) {
        world.nodes().forEach(node -> struck.forEach(server -> node.cordon(server.id(), out)));
    }
}
