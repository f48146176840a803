package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/**
 * Makes the machines of a part of the app servers unreachable while their connections stay open; healing starts the
 * servers again, cold.
 */
final class Vanish implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        return makeUnreachable(world, world.faultTargets(spec, random));
    }

    static ActiveFault makeUnreachable(World world, List<AppServer> targets) {
        for (AppServer server : targets) {
            server.becomeUnreachable();
            world.list().remove(server.id(), false, true);
        }
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(AppServer::isUnreachable).forEach(world::startServer));
    }
}
