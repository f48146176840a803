package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers hear and work, and what they say does not come through. */
final class LostAnswers implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> world.links().mute(server, true));
        return ActiveFault.servers(
                struck, () -> struck.forEach(server -> world.links().mute(server, false)));
    }
}
