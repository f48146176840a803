package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers' machines fall silent, and come back cold. */
final class Vanish implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        return silence(world, world.faultTargets(spec, random));
    }

    static ActiveFault silence(World world, List<AppServer> targets) {
        for (AppServer server : targets) {
            server.fallSilent();
            world.list().gone(server.id(), false, true);
        }
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(AppServer::isSilent).forEach(world::startServer));
    }
}
