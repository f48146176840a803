package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.World;

/** A part of the app servers fail the share {@code size} of what they get, at once. */
final class FastErrors implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        targets.forEach(server -> server.fail(Math.min(1, spec.size())));
        return ActiveFault.servers(targets, () -> targets.forEach(server -> server.fail(0)));
    }
}
