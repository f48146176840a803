package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** A part of the app servers hear and work, and what they say does not come through. */
final class LostAnswers implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> world.links().setMuted(server, true));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> world.links().setMuted(server, false)));
    }
}
