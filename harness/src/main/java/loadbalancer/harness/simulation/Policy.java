package loadbalancer.harness.simulation;

import java.util.Map;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.ServiceQBalancer;

/** Creates the balancer of a simulated node. */
public interface Policy {
    /** The project's own decision module. */
    Policy MODULE = (settings, seed, actions, servers) -> new ServiceQBalancer(settings, seed, actions);

    /**
     * Creates the balancer of a node that starts.
     *
     * @param servers the models of the app servers, for reference policies that use state no real node can observe
     */
    Balancer make(BalancerSettings settings, long seed, BalancerActions actions, Map<String, AppServer> servers);
}
