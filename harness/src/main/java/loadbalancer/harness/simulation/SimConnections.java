package loadbalancer.harness.simulation;

import java.util.HashMap;
import java.util.Map;

/** The model of a node's pool of connections to the app servers: idle connections and their last use. */
final class SimConnections {
    private final String node;
    private final Testbed testbed;
    private final Map<String, ServerPool> byServer = new HashMap<>();

    /** Connections to one incarnation of a server, which is identified by its start time. */
    private static final class ServerPool {
        private long serverStartedUs = -1;
        private int idle;
        private long lastUsedUs;
    }

    SimConnections(String node, Testbed testbed) {
        this.node = node;
        this.testbed = testbed;
    }

    /** Takes an idle connection to this server; returns false if there is none and a new one has to be opened. */
    boolean acquireIdle(AppServer server) {
        ServerPool connections = byServer.computeIfAbsent(server.id(), id -> new ServerPool());
        boolean restarted = connections.serverStartedUs != server.startedUs();
        boolean expired = testbed.time().nowUs() - connections.lastUsedUs
                > testbed.links().net().idleUs();
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

    /** Returns a connection to the pool after its response. */
    void release(AppServer server) {
        ServerPool connections = byServer.get(server.id());
        connections.idle += connections.serverStartedUs == server.startedUs() ? 1 : 0;
        connections.lastUsedUs = testbed.time().nowUs();
    }

    void closeIdle(String serverId) {
        ServerPool connections = byServer.remove(serverId);
        for (int i = 0; connections != null && i < connections.idle; i++) {
            testbed.servers().get(serverId).disconnect(node);
        }
    }

    /** Closes all connections when the node's process ends. */
    void clear() {
        byServer.keySet().forEach(serverId -> testbed.servers().get(serverId).disconnect(node));
        byServer.clear();
    }
}
