package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers' processes are killed, and come back cold. */
final class Crash implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(world::killServer);
        return ActiveFault.servers(
                struck, () -> struck.stream().filter(server -> !server.isUp()).forEach(world::startServer));
    }
}
