package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/** A part of the app servers fail the share {@code size} of what they get, at once. */
final class FastErrors implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        struck.forEach(server -> server.fail(Math.min(1, told.size())));
        return Struck.servers(struck, () -> struck.forEach(server -> server.fail(0)));
    }
}
