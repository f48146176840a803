package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers that this node knows: those of the endpoint list, those that operators have cordoned, and those that
 * were removed while requests are still in flight there. Single-threaded; no I/O.
 */
final class ServerRegistry {
    private final Map<String, ServerRecord> byId = new HashMap<>();
    /** The servers of the endpoint list, in the order in which they came. */
    private final Set<ServerRecord> listed = new LinkedHashSet<>();
    /** The cordoned servers, with the time when each was cordoned. */
    private Map<String, Long> cordonedAtUs = Map.of();

    /** Gives all servers the state that is kept for each class. */
    void addClasses(List<RequestClass> classes) {
        byId.values().forEach(server -> server.classHealth.extendTo(classes));
    }

    /** Takes in a list event; returns the servers whose process is a new one. */
    List<ServerRecord> apply(ListKind kind, List<ServerEntry> entries, List<RequestClass> classes) {
        if (kind != ListKind.CHANGES) {
            listed.forEach(server -> server.state = ServerState.GONE);
            listed.clear();
        }
        List<ServerRecord> restarted = new ArrayList<>();
        for (ServerEntry entry : entries) {
            ServerRecord server = byId.computeIfAbsent(entry.id(), ServerRecord::new);
            server.classHealth.extendTo(classes);
            if (entry.state() == ServerState.GONE) {
                listed.remove(server);
            } else {
                listed.add(server);
            }
            if (entry.startedAtUs() > server.startedAtUs) {
                server.startedAtUs = entry.startedAtUs();
                restarted.add(server);
            }
            server.state = entry.state();
            server.zone = entry.zone();
            server.cell = entry.cell();
        }
        return restarted;
    }

    /** Takes in the complete set of cordoned servers; returns those that must be taken for restarted. */
    List<ServerRecord> setCordoned(Set<String> serverIds, long nowUs) {
        Map<String, Long> before = cordonedAtUs;
        cordonedAtUs = new HashMap<>();
        serverIds.forEach(id -> cordonedAtUs.put(id, before.getOrDefault(id, nowUs)));
        List<ServerRecord> restarted = new ArrayList<>();
        for (ServerRecord server : listed) {
            // A server that returns has most likely been restarted meanwhile: now, unless the list has said when.
            if (!isCordoned(server) && server.startedAtUs < before.getOrDefault(server.id, 0L)) {
                server.startedAtUs = nowUs;
                restarted.add(server);
            }
        }
        return restarted;
    }

    private boolean isCordoned(ServerRecord server) {
        return cordonedAtUs.containsKey(server.id);
    }

    /** The servers that take requests and are not cordoned, in list order. */
    ServerRecord[] available() {
        return listed.stream()
                .filter(server -> server.state == ServerState.READY && !isCordoned(server))
                .toArray(ServerRecord[]::new);
    }

    /** How many servers of the list are cordoned. */
    int cordonedCount() {
        return (int) listed.stream().filter(this::isCordoned).count();
    }

    /** Forgets removed servers without requests in flight: servers come and go as long as a node runs. */
    void forgetRemoved() {
        byId.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
    }

    /** How many servers are known. */
    int size() {
        return byId.size();
    }
}
