package kitemux.rig.trouble;

import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** All app servers of one zone fall silent, and come back cold. */
final class ZoneLost implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        int zone = random.nextInt(world.zones());
        return Vanish.silence(
                world,
                world.servers().values().stream().filter(s -> s.zone() == zone).toList());
    }
}
