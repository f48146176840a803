package loadbalancer.harness.simulation;

import java.util.Map;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.ServiceQBalancer;

/** What makes the decisions of a simulated node. */
public interface Policy {
    /** The project's own module. */
    Policy MODULE = (settings, seed, actions, servers) -> new ServiceQBalancer(settings, seed, actions);

    /**
     * A node that has just started; {@code servers} are the true ones, for policies that no real node can
     * have.
     */
    Balancer make(BalancerSettings settings, long seed, BalancerActions actions, Map<String, AppServer> servers);
}
