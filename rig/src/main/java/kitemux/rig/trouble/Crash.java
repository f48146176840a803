package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers' processes are killed, and come back cold. */
final class Crash implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(world::killServer);
        return Struck.servers(
                struck, () -> struck.stream().filter(server -> !server.isUp()).forEach(world::startServer));
    }
}
