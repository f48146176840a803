package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers' machines fall silent, and come back cold. */
final class Vanish implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        return silence(world, world.struckBy(told, random));
    }

    static Struck silence(World world, List<AppServer> struck) {
        for (AppServer server : struck) {
            server.fallSilent();
            world.list().gone(server.id(), false, true);
        }
        return Struck.servers(
                struck, () -> struck.stream().filter(AppServer::isSilent).forEach(world::startServer));
    }
}
