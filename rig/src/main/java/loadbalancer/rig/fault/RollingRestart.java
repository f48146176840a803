package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.NodePort;
import loadbalancer.rig.world.World;

/** A part of the nodes are told to end and started again, one after the other. */
final class RollingRestart implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<NodePort> targets = World.some(world.nodes(), spec.part(), random);
        long gapUs = spec.lengthUs() / targets.size();
        for (int i = 0; i < targets.size(); i++) {
            NodePort node = targets.get(i);
            world.time().after(i * gapUs, node::terminate);
            world.time().after(i * gapUs + NodePort.MAX_SHUTDOWN_US + 1, node::start);
        }
        return ActiveFault.nodes(targets);
    }
}
