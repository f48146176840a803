package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.World;

/**
 * All connections to a part of the app servers break, amid requests, every {@code size} seconds (0: once).
 */
final class Resets implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        long untilUs = world.time().nowUs() + told.lengthUs();
        strike(world, struck, Math.round(told.size() * 1e6), untilUs);
        return Struck.servers(struck, () -> {});
    }

    private static void strike(World world, List<AppServer> struck, long everyUs, long untilUs) {
        struck.forEach(world.links()::reset);
        if (everyUs > 0 && world.time().nowUs() + everyUs < untilUs) {
            world.time().after(everyUs, () -> strike(world, struck, everyUs, untilUs));
        }
    }
}
