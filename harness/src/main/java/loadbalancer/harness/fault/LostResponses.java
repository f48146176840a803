package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** Drops all that a part of the app servers send. They still receive requests and work on them. */
final class LostResponses implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> world.links().setMuted(server, true));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> world.links().setMuted(server, false)));
    }
}
