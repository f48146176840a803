package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.NodePort;
import kitemux.rig.world.World;

/** A part of the nodes are killed at once, and all started again {@code size} seconds later. */
final class Herd implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<NodePort> struck = World.some(world.nodes(), told.part(), random);
        struck.forEach(NodePort::kill);
        world.time().after(Math.round(told.size() * 1e6), () -> struck.forEach(NodePort::start));
        return Struck.nodes(struck);
    }
}
