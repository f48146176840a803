package loadbalancer.harness.fault;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.World;

/** A part of the app servers are restarted one after the other: asked to drain, ended, started again cold. */
final class Release implements Fault {
    /** From the word that one drains to its end, beyond what the list and the rule on drains take. */
    private static final long LINGERS_US = 1_000_000;

    private static final long DOWN_US = 500_000;

    @Override
    public ActiveFault inject(World world, Scenario.FaultSpec spec, SplittableRandom random) {
        List<AppServer> targets = world.faultTargets(spec, random);
        long gapUs = spec.lengthUs() / Math.max(1, targets.size());
        Scenario scenario = world.scenario();
        long toldUs = scenario.list().changeUs()
                + scenario.list().spreadUs()
                + scenario.rules().drainGraceUs();
        for (int i = 0; i < targets.size(); i++) {
            AppServer server = targets.get(i);
            world.time().after(i * gapUs, () -> {
                world.list().startDraining(server.id());
                world.time().after(toldUs + LINGERS_US, () -> {
                    server.kill();
                    world.list().remove(server.id(), true, false);
                    world.time().after(DOWN_US, () -> world.startServer(server));
                });
            });
        }
        return ActiveFault.servers(targets, () -> {});
    }
}
