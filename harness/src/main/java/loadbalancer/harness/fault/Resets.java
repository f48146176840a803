package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/**
 * All connections to a part of the app servers break, amid requests, every {@code size} seconds (0: once).
 */
final class Resets implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        long untilUs = world.time().nowUs() + spec.lengthUs();
        resetRepeatedly(world, targets, Math.round(spec.size() * 1e6), untilUs);
        return ActiveFault.servers(targets, () -> {});
    }

    private static void resetRepeatedly(World world, List<AppServer> targets, long everyUs, long untilUs) {
        targets.forEach(world.links()::reset);
        if (everyUs > 0 && world.time().nowUs() + everyUs < untilUs) {
            world.time().after(everyUs, () -> resetRepeatedly(world, targets, everyUs, untilUs));
        }
    }
}
