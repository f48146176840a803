package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers hear and work, and what they say does not come through. */
final class LostAnswers implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> world.links().mute(server, true));
        return Struck.servers(
                struck, () -> struck.forEach(server -> world.links().mute(server, false)));
    }
}
