package kitemux.rig.trouble;

import java.util.SplittableRandom;

import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** The share {@code extra} of one class takes {@code size} times the work. */
final class HeavyTail implements Trouble {
    @Override
    public Runnable strike(World world, Scenario.Trouble told, SplittableRandom random) {
        world.heavy(random.nextInt(world.scenario().classes().size()), told.extra(), told.size());
        return () -> world.heavy(-1, 0, 1);
    }
}
