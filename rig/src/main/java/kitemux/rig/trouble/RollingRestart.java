package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.NodePort;
import kitemux.rig.world.World;

/** A part of the nodes are told to end and started again, one after the other. */
final class RollingRestart implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<NodePort> struck = World.some(world.nodes(), told.part(), random);
        long gapUs = told.lengthUs() / struck.size();
        for (int i = 0; i < struck.size(); i++) {
            NodePort node = struck.get(i);
            world.time().after(i * gapUs, node::end);
            world.time().after(i * gapUs + NodePort.MOST_END_US + 1, node::start);
        }
        return Struck.nodes(struck);
    }
}
