package loadbalancer.rig.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.World;

/** The share {@code extra} of one class takes {@code size} times the work. */
final class HeavyTail implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int classIndex = spec.on().isEmpty()
                ? random.nextInt(world.scenario().classes().size())
                : spec.on().get(0);
        world.heavy(classIndex, spec.extra(), spec.size());
        return new ActiveFault(
                List.of(world.scenario().classes().get(classIndex).name()), () -> world.heavy(-1, 0, 1));
    }
}
