package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Testbed;

/** Multiplies the work of a share {@code extra} of the requests of one class by {@code size}. */
final class HeavyTail implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        int classIndex = spec.on().isEmpty()
                ? random.nextInt(testbed.scenario().classes().size())
                : spec.on().get(0);
        testbed.setHeavyTail(classIndex, spec.extra(), spec.size());
        return new ActiveFault(
                List.of(testbed.scenario().classes().get(classIndex).name()), () -> testbed.setHeavyTail(-1, 0, 1));
    }
}
