package kitemux.rig.trouble;

import java.util.SplittableRandom;

import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** Clients ask {@code size} times as much. */
final class Burst implements Trouble {
    @Override
    public Runnable strike(World world, Scenario.Trouble told, SplittableRandom random) {
        world.burst(told.size());
        return () -> world.burst(1);
    }
}
