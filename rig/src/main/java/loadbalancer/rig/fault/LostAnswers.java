package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers hear and work, and what they say does not come through. */
final class LostAnswers implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> world.links().mute(server, true));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> world.links().mute(server, false)));
    }
}
