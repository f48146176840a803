package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/**
 * Breaks all connections to a part of the app servers, including those with requests in progress, every {@code size}
 * seconds (0: once).
 */
final class Resets implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        long untilUs = world.time().nowUs() + spec.lengthUs();
        resetRepeatedly(world, targets, Math.round(spec.size() * 1e6), untilUs);
        return ActiveFault.servers(targets, () -> {});
    }

    private static void resetRepeatedly(World world, List<AppServer> targets, long intervalUs, long untilUs) {
        targets.forEach(world.links()::reset);
        if (intervalUs > 0 && world.time().nowUs() + intervalUs < untilUs) {
            world.time().after(intervalUs, () -> resetRepeatedly(world, targets, intervalUs, untilUs));
        }
    }
}
