package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers work {@code size} times slower. */
final class Slow implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> server.slowBy(Math.max(1, spec.size())));
        return ActiveFault.servers(targets, () -> targets.forEach(server -> server.slowBy(1)));
    }
}
