package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** Restarts a part of the app servers one after the other: each drains, is killed, and starts again cold. */
final class Release implements Fault {
    /** Time from the end of a drain, which is when no node may send requests any more, until the server is killed. */
    private static final long SHUTDOWN_DELAY_US = 1_000_000;

    /** Time from the kill of a server until it starts again. */
    private static final long RESTART_DELAY_US = 500_000;

    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        long intervalUs = spec.lengthUs() / Math.max(1, targets.size());
        Scenario scenario = world.scenario();
        long drainedAfterUs = scenario.list().changeUs()
                + scenario.list().spreadUs()
                + scenario.rules().drainGraceUs();
        for (int i = 0; i < targets.size(); i++) {
            AppServer server = targets.get(i);
            world.time().after(i * intervalUs, () -> {
                world.list().startDraining(server.id());
                world.time().after(drainedAfterUs + SHUTDOWN_DELAY_US, () -> {
                    server.kill();
                    world.list().remove(server.id(), true, false);
                    world.time().after(RESTART_DELAY_US, () -> world.startServer(server));
                });
            });
        }
        return ActiveFault.servers(targets, () -> {});
    }
}
