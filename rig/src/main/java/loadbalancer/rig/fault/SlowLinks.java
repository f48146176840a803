package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers are {@code size} milliseconds farther away, each way. */
final class SlowLinks implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> world.links().slow(server, Math.round(told.size() * 1_000)));
        return ActiveFault.servers(
                struck, () -> struck.forEach(server -> world.links().slow(server, 0)));
    }
}
