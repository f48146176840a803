package loadbalancer.rig.fault;

import java.util.List;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.NodePort;

/**
 * What a trouble has done.
 *
 * @param who whom it struck: ids of servers, names of nodes, or what else they are called
 * @param heal ends it
 */
public record ActiveFault(List<String> who, Runnable heal) {

    static ActiveFault servers(List<AppServer> struck, Runnable heal) {
        return new ActiveFault(struck.stream().map(AppServer::id).toList(), heal);
    }

    static ActiveFault nodes(List<NodePort> struck) {
        return new ActiveFault(struck.stream().map(NodePort::name).toList(), () -> {});
    }
}
