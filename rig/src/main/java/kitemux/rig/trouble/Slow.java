package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers work {@code size} times slower. */
final class Slow implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> server.slowBy(Math.max(1, told.size())));
        return Struck.servers(struck, () -> struck.forEach(server -> server.slowBy(1)));
    }
}
