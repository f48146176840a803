package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers are {@code size} milliseconds farther away, each way. */
final class SlowLinks implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> world.links().slow(server, Math.round(spec.size() * 1_000)));
        return ActiveFault.servers(
                targets, () -> targets.forEach(server -> world.links().slow(server, 0)));
    }
}
