package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.NodePort;
import loadbalancer.rig.world.World;

/** A part of the nodes are told to end and started again, one after the other. */
final class RollingRestart implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<NodePort> struck = World.some(world.nodes(), told.part(), random);
        long gapUs = told.lengthUs() / struck.size();
        for (int i = 0; i < struck.size(); i++) {
            NodePort node = struck.get(i);
            world.time().after(i * gapUs, node::end);
            world.time().after(i * gapUs + NodePort.MOST_END_US + 1, node::start);
        }
        return ActiveFault.nodes(struck);
    }
}
