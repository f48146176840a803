package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers' machines fall silent, and come back cold. */
final class Vanish implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        return silence(world, world.struckBy(told, random));
    }

    static ActiveFault silence(World world, List<AppServer> struck) {
        for (AppServer server : struck) {
            server.fallSilent();
            world.list().gone(server.id(), false, true);
        }
        return ActiveFault.servers(
                struck, () -> struck.stream().filter(AppServer::isSilent).forEach(world::startServer));
    }
}
