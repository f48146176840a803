package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort;
import loadbalancer.harness.simulation.Testbed;

/** Sends SIGTERM to a part of the nodes and starts them again, one after the other. */
final class RollingRestart implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<NodePort> targets = Testbed.randomShare(testbed.nodes(), spec.part(), random);
        long intervalUs = spec.lengthUs() / targets.size();
        for (int i = 0; i < targets.size(); i++) {
            NodePort node = targets.get(i);
            testbed.time().after(i * intervalUs, node::terminate);
            testbed.time().after(i * intervalUs + NodePort.MAX_SHUTDOWN_US + 1, node::start);
        }
        return ActiveFault.nodes(targets);
    }
}
