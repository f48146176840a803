package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/**
 * All connections to a part of the app servers break, amid requests, every {@code size} seconds (0: once).
 */
final class Resets implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<AppServer> struck = world.struckBy(told, random);
        long untilUs = world.time().nowUs() + told.lengthUs();
        strike(world, struck, Math.round(told.size() * 1e6), untilUs);
        return ActiveFault.servers(struck, () -> {});
    }

    private static void strike(World world, List<AppServer> struck, long everyUs, long untilUs) {
        struck.forEach(world.links()::reset);
        if (everyUs > 0 && world.time().nowUs() + everyUs < untilUs) {
            world.time().after(everyUs, () -> strike(world, struck, everyUs, untilUs));
        }
    }
}
