package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.Testbed;

/** Restarts a part of the app servers one after the other: each drains, is killed, and starts again cold. */
final class Release implements Fault {
    /** Time from the end of a drain, which is when no node may send requests any more, until the server is killed. */
    private static final long SHUTDOWN_DELAY_US = 1_000_000;

    /** Time from the kill of a server until it starts again. */
    private static final long RESTART_DELAY_US = 500_000;

    @Override
    public ActiveFault inject(Testbed testbed, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = testbed.faultTargets(spec, random);
        long intervalUs = spec.lengthUs() / Math.max(1, targets.size());
        Scenario scenario = testbed.scenario();
        long drainedAfterUs = scenario.list().changeUs()
                + scenario.list().spreadUs()
                + scenario.rules().drainGraceUs();
        for (int i = 0; i < targets.size(); i++) {
            AppServer server = targets.get(i);
            testbed.time().after(i * intervalUs, () -> {
                testbed.list().startDraining(server.id());
                testbed.time().after(drainedAfterUs + SHUTDOWN_DELAY_US, () -> {
                    server.kill();
                    testbed.list().remove(server.id(), true, false);
                    testbed.time().after(RESTART_DELAY_US, () -> testbed.startServer(server));
                });
            });
        }
        return ActiveFault.servers(targets, () -> {});
    }
}
