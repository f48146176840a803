package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.NodePort;
import loadbalancer.rig.world.World;

/** A part of the nodes are killed at once, and all started again {@code size} seconds later. */
final class Herd implements Fault {
    @Override
    public ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random) {
        List<NodePort> struck = World.some(world.nodes(), told.part(), random);
        struck.forEach(NodePort::kill);
        world.time().after(Math.round(told.size() * 1e6), () -> struck.forEach(NodePort::start));
        return ActiveFault.nodes(struck);
    }
}
