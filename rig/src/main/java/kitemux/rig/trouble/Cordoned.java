package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** Operators take a part of the app servers out by hand at every node, and let them in again. */
final class Cordoned implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        set(world, struck, true);
        return Struck.servers(struck, () -> set(world, struck, false));
    }

    private static void set(World world, List<AppServer> struck, boolean out) {
        world.nodes().forEach(node -> struck.forEach(server -> node.cordon(server.id(), out)));
    }
}
