package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** Clients ask {@code size} times as much. */
final class Burst implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        world.burst(told.size());
        return new Struck(List.of("clients"), () -> world.burst(1));
    }
}
