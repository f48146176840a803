package kitemux.rig.trouble;

import java.util.List;
import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** Discovery is down: no node hears of any change. */
final class ListDown implements Trouble {
    @Override
    public Struck strike(World world, Scenario.Trouble told, SplittableRandom random) {
        world.list().setDown(true);
        return new Struck(List.of("list"), () -> world.list().setDown(false));
    }
}
