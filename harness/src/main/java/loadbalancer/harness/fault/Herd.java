package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort;
import loadbalancer.harness.simulation.Testbed;

/** Kills a part of the nodes at the same time, and starts all of them again {@code size} seconds later. */
final class Herd implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<NodePort> targets = Testbed.randomShare(testbed.nodes(), spec.part(), random);
        targets.forEach(NodePort::kill);
        testbed.time().after(Math.round(spec.size() * 1e6), () -> targets.forEach(NodePort::start));
        return ActiveFault.nodes(targets);
    }
}
