package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers are {@code size} milliseconds farther away, each way. */
final class SlowLinks implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> world.links().slow(server, Math.round(told.size() * 1_000)));
        return Struck.servers(
                struck, () -> struck.forEach(server -> world.links().slow(server, 0)));
    }
}
