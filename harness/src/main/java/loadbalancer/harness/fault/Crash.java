package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** Kills the processes of a part of the app servers; healing starts them again, cold. */
final class Crash implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(world::killServer);
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(server -> !server.isUp()).forEach(world::startServer));
    }
}
