package kitemux.rig.world;

import java.util.Map;
import kitemux.Balancer;
import kitemux.Balancer.Actions;
import kitemux.Balancer.Settings;
import kitemux.ServiceQBalancer;

/** What makes the decisions of a simulated node. */
public interface Policy {
    /** The project's own module. */
    Policy MODULE = (settings, seed, actions, servers) -> new ServiceQBalancer(settings, seed, actions);

    /**
     * A node that has just started; {@code servers} are the true ones, for policies that no real node can
     * have.
     */
    Balancer make(Settings settings, long seed, Actions actions, Map<String, AppServer> servers);
}
