package loadbalancer.harness.fault;

import java.util.List;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.FleetNode;

/**
 * A fault that has been injected and is active.
 *
 * @param targets what it was injected into: ids of app servers, names of nodes, or the name of a zone, class or part
 * @param heal ends the fault
 */
public record ActiveFault(List<String> targets, Runnable heal) {

    static ActiveFault servers(List<AppServer> targets, Runnable heal) {
        return new ActiveFault(targets.stream().map(AppServer::id).toList(), heal);
    }

    static ActiveFault nodes(List<FleetNode> targets) {
        return new ActiveFault(targets.stream().map(FleetNode::name).toList(), () -> {});
    }
}
