package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/**
 * Breaks all connections to a part of the app servers, including those with requests in progress, every {@code size}
 * seconds (0: once).
 */
final class Resets implements Fault {
    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        long untilUs = testbed.time().nowUs() + spec.lengthUs();
        resetRepeatedly(testbed, targets, Math.round(spec.size() * 1e6), untilUs);
        return ActiveFault.servers(targets, () -> {});
    }

    private static void resetRepeatedly(Testbed testbed, List<AppServer> targets, long intervalUs, long untilUs) {
        targets.forEach(testbed.links()::reset);
        if (intervalUs > 0 && testbed.time().nowUs() + intervalUs < untilUs) {
            testbed.time().after(intervalUs, () -> resetRepeatedly(testbed, targets, intervalUs, untilUs));
        }
    }
}
