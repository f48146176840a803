package kitemux.rig.trouble;

import java.util.SplittableRandom;
import kitemux.rig.scenario.Scenario;
import kitemux.rig.world.World;

/** Something that goes wrong in a world. One small class each; {@link Troubles} names them. */
public interface Trouble {

    /**
     * Begins it.
     *
     * @param random this trouble's own
     * @return whom it struck, and what ends it
     */
    Struck strike(World world, Scenario.Trouble told, SplittableRandom random);
}
