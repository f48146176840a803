package loadbalancer.rig.fault;

import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.World;

/** Something that goes wrong in a world. One small class each; {@link Faults} names them. */
public interface Fault {

    /**
     * Begins it.
     *
     * @param random this trouble's own
     * @return whom it struck, and what ends it
     */
    ActiveFault strike(World world, Scenario.Trouble told, SplittableRandom random);
}
