package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers work {@code size} times slower. */
final class Slow implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> server.slowBy(Math.max(1, told.size())));
        return ActiveFault.servers(struck, () -> struck.forEach(server -> server.slowBy(1)));
    }
}
