package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ServerRegistryTest {
    private final ServerRegistry registry = new ServerRegistry();

    private List<String> apply(ListKind kind, ServerEntry... entries) {
        return ids(registry.apply(kind, List.of(entries), FakeNode.settings().classes));
    }

    private static List<String> ids(List<ServerRecord> servers) {
        return servers.stream().map(server -> server.id).toList();
    }

    private List<String> available() {
        return ids(Arrays.asList(registry.available()));
    }

    private static ServerEntry entry(String id, ServerState state, long startedAtUs) {
        return new ServerEntry(id, 0, 0, state, 1, startedAtUs);
    }

    @Test
    void fullListRemovesMissingServersAndChangesDoNot() {
        apply(ListKind.FULL, FakeNode.server("a"), FakeNode.server("b"));
        apply(ListKind.CHANGES, FakeNode.server("c"), entry("a", ServerState.DRAINING, 0));
        assertEquals(List.of("b", "c"), available());
        apply(ListKind.FULL, FakeNode.server("c"));
        assertEquals(List.of("c"), available());
    }

    @Test
    void laterStartOfTheSameServerIsARestart() {
        assertEquals(List.of("a"), apply(ListKind.FULL, entry("a", ServerState.READY, 5)));
        assertEquals(List.of(), apply(ListKind.CHANGES, entry("a", ServerState.READY, 5)));
        assertEquals(List.of("a"), apply(ListKind.CHANGES, entry("a", ServerState.READY, 6)));
    }

    @Test
    void uncordonedServerCountsAsRestartedUnlessTheListReportedItsStart() {
        apply(ListKind.FULL, FakeNode.server("a"), FakeNode.server("b"));
        registry.setCordoned(Set.of("a", "b"), 100);
        assertEquals(List.of(), available());
        assertEquals(2, registry.cordonedCount());
        apply(ListKind.CHANGES, entry("b", ServerState.READY, 150));
        assertEquals(List.of("a"), ids(registry.setCordoned(Set.of(), 200)));
        assertEquals(List.of("a", "b"), available());
    }

    @Test
    void removedServerIsDroppedOnceNothingIsInFlight() {
        apply(ListKind.FULL, FakeNode.server("a"));
        ServerRecord server = registry.available()[0];
        server.inFlight = 1;
        apply(ListKind.FULL);
        registry.forgetRemoved();
        assertEquals(1, registry.size());
        server.inFlight = 0;
        registry.forgetRemoved();
        assertEquals(0, registry.size());
    }
}
