package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All servers that this node knows: those of the endpoint list, with the cordons of the operators, and those that were
 * removed while attempts were still in flight. A removed server is forgotten at the first endpoint list event after the
 * end of these attempts; those that their request is bound to do not count.
 */
final class ServerRegistry {
    private final Map<String, ServerRecord> byId = new HashMap<>();
    /** The servers of the endpoint list, in the order of their first entry. */
    private final Set<ServerRecord> listed = new LinkedHashSet<>();
    /** The ids of the cordoned servers, each with the time at which it was cordoned. */
    private Map<String, Long> cordonedAtUs = Map.of();

    /** Adds state for new classes to all servers. */
    void addClasses(List<RequestClass> classes) {
        byId.values().forEach(server -> server.classHealth.extendTo(classes));
    }

    /** Applies an endpoint list event; returns the servers whose process has been replaced. */
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

    /** Replaces the set of cordoned servers; returns the servers that must be considered restarted. */
    List<ServerRecord> setCordoned(Set<String> serverIds, long nowUs) {
        Map<String, Long> before = cordonedAtUs;
        cordonedAtUs = new HashMap<>();
        serverIds.forEach(id -> cordonedAtUs.put(id, before.getOrDefault(id, nowUs)));
        List<ServerRecord> restarted = new ArrayList<>();
        for (ServerRecord server : listed) {
            // A server whose cordon ends has most likely been restarted meanwhile. Its start is taken to be now, unless
            // the endpoint list has reported a start since the cordon.
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

    /** Returns the servers that take requests and are not cordoned, in list order. */
    ServerRecord[] available() {
        return listed.stream()
                .filter(server -> server.state == ServerState.READY && !isCordoned(server))
                .toArray(ServerRecord[]::new);
    }

    /** Number of listed servers that are cordoned. */
    int cordonedCount() {
        return (int) listed.stream().filter(this::isCordoned).count();
    }

    /** Drops removed servers without attempts in flight, so that memory does not grow as servers come and go. */
    void forgetRemoved() {
        byId.values().removeIf(server -> server.state == ServerState.GONE && server.inFlight == 0);
    }

    /** Number of known servers. */
    int size() {
        return byId.size();
    }
}
