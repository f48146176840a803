package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** A part of the app servers' processes are killed, and come back cold. */
final class Crash implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(world::killServer);
        return ActiveFault.servers(
                targets, () -> targets.stream().filter(server -> !server.isUp()).forEach(world::startServer));
    }
}
