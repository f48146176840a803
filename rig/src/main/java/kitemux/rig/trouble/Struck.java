package kitemux.rig.trouble;

import java.util.List;
import kitemux.rig.world.AppServer;
import kitemux.rig.world.NodePort;

/**
 * What a trouble has done.
 *
 * @param who whom it struck: ids of servers, names of nodes, or what else they are called
 * @param heal ends it
 */
public record Struck(List<String> who, Runnable heal) {

    static Struck servers(List<AppServer> struck, Runnable heal) {
        return new Struck(struck.stream().map(AppServer::id).toList(), heal);
    }

    static Struck nodes(List<NodePort> struck) {
        return new Struck(struck.stream().map(NodePort::name).toList(), () -> {});
    }
}
