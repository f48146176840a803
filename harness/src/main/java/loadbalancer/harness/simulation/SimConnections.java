package loadbalancer.harness.simulation;

import java.util.HashMap;
import java.util.Map;

/** The model of a node's connections to the app servers: how many are idle, and for how long. */
final class SimConnections {
    private final String node;
    private final World world;
    private final Map<String, ToServer> byServer = new HashMap<>();

    /** Connections to one incarnation of a server, which its start identifies. */
    private static final class ToServer {
        private long serverStartedUs = -1;
        private int idle;
        private long usedAtUs;
    }

    SimConnections(String node, World world) {
        this.node = node;
        this.world = world;
    }

    /** Takes an idle connection to this server; false if there is none, and one has to be opened. */
    boolean acquireIdle(AppServer server) {
        ToServer connections = byServer.computeIfAbsent(server.id(), id -> new ToServer());
        boolean restarted = connections.serverStartedUs != server.startedUs();
        boolean expired = world.time().nowUs() - connections.usedAtUs
                > world.links().net().idleUs();
        if (restarted || expired) {
            connections.serverStartedUs = server.startedUs();
            connections.idle = 0;
        }
        if (connections.idle == 0) {
            return false;
        }
        connections.idle--;
        return true;
    }

    /** Gives back a connection on which a response has come. */
    void release(AppServer server) {
        ToServer connections = byServer.get(server.id());
        connections.idle += connections.serverStartedUs == server.startedUs() ? 1 : 0;
        connections.usedAtUs = world.time().nowUs();
    }

    void closeIdle(String serverId) {
        ToServer connections = byServer.remove(serverId);
        for (int i = 0; connections != null && i < connections.idle; i++) {
            world.servers().get(serverId).disconnect(node);
        }
    }

    /** The node's process has ended, and its connections with it. */
    void clear() {
        byServer.keySet().forEach(serverId -> world.servers().get(serverId).disconnect(node));
        byServer.clear();
    }
}
