package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.World;

/** Multiplies the work of a share {@code extra} of the requests of one class by {@code size}. */
final class HeavyTail implements Fault {
    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        int classIndex = spec.on().isEmpty()
                ? random.nextInt(world.scenario().classes().size())
                : spec.on().get(0);
        world.setHeavyTail(classIndex, spec.extra(), spec.size());
        return new ActiveFault(
                List.of(world.scenario().classes().get(classIndex).name()), () -> world.setHeavyTail(-1, 0, 1));
    }
}
