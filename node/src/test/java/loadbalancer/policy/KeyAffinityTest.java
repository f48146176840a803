package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Draws by the request's key, where servers cache keys. */
class KeyAffinityTest {
    private static final int SERVERS = 20;
    private static final int KEYS = 400;

    private static FakeNode node(int nodeIndex, boolean keyAffinity) {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 4;
        settings.nodeIndex = nodeIndex;
        settings.keyAffinity = keyAffinity;
        settings.crossZoneCost = 0.01;
        return new FakeNode(settings, 50 + nodeIndex).withServers(SERVERS);
    }

    private static String serve(FakeNode node, String key, AttemptResult result) {
        long id = node.requestWithKey(key, FakeNode.NON_IDEMPOTENT);
        String server = node.lastAttempt(id).server();
        node.endAttempt(id, result, 5_000);
        return server;
    }

    private static Map<String, String> serversByKey(FakeNode node) {
        Map<String, String> serverByKey = new HashMap<>();
        for (int k = 0; k < KEYS; k++) {
            serverByKey.put("k" + k, serve(node, "k" + k, AttemptResult.OK));
        }
        return serverByKey;
    }

    @Test
    void everyNodeSendsAKeyToTheSameServerWhileNothingIsInFlight() {
        Map<String, String> serverByKey = serversByKey(node(0, true));
        assertEquals(serverByKey, serversByKey(node(1, true)));
        Map<String, Integer> keyCounts = new HashMap<>();
        serverByKey.values().forEach(s -> keyCounts.merge(s, 1, Integer::sum));
        assertEquals(SERVERS, keyCounts.size());
        keyCounts.forEach((s, n) -> assertTrue(n >= 6 && n <= 40, s + " has " + n + " of 400 keys"));
    }

    @Test
    void keyStaysLocalWhereCrossingZonesHasACostUntilItsServersAreBusy() {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            entries.add(new ServerEntry("s" + i, i % 4 == 0 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        FakeNode node = node(0, true).deliverList(ListKind.FULL, entries);
        FakeNode other = node(1, true).deliverList(ListKind.FULL, entries);
        Map<String, String> serverByKey = serversByKey(node);
        assertEquals(serverByKey, serversByKey(other), "nodes of a zone send a key to the same server");
        assertEquals(Set.of("s0", "s4", "s8", "s12", "s16"), new HashSet<>(serverByKey.values()));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 16; i++) {
            used.add(node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                    .server());
        }
        assertTrue(!serverByKey.values().containsAll(used), "busy local servers still receive all requests: " + used);
    }

    @Test
    void keysDoNotMatterWithoutKeyAffinity() {
        FakeNode node = node(0, false);
        Map<String, Integer> hits = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            hits.merge(serve(node, "same", AttemptResult.OK), 1, Integer::sum);
        }
        assertTrue(hits.size() > 10, hits.toString());
    }

    @Test
    void secondServerOfAKeyTakesOverWhileTheFirstHasMoreInFlight() {
        FakeNode node = node(0, true);
        String first = node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                .server();
        String second = node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                .server();
        assertTrue(!first.equals(second));
        assertEquals(
                List.of(first, second, first, second),
                List.of(
                        node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                                .server(),
                        node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                                .server(),
                        node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                                .server(),
                        node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT))
                                .server()));
    }

    @Test
    void removedServerMovesItsOwnKeysAndFewOthers() {
        FakeNode node = node(0, true);
        Map<String, String> before = serversByKey(node);
        node.deliverList(ListKind.CHANGES, List.of(new ServerEntry("s7", 0, 0, ServerState.GONE, 1, 0)));
        Map<String, String> after = serversByKey(node);
        long moved = before.keySet().stream()
                .filter(k -> !before.get(k).equals("s7") && !before.get(k).equals(after.get(k)))
                .count();
        assertTrue(!after.containsValue("s7"));
        assertTrue(moved < KEYS / 8, "other keys moved: " + moved);
    }

    @Test
    void serverWithErrorsLosesKeysAndTheOthersKeepTheirs() {
        FakeNode node = node(0, true);
        Map<String, String> before = serversByKey(node);
        String key = before.keySet().stream()
                .sorted()
                .filter(k -> before.get(k).equals("s3"))
                .findFirst()
                .get();
        // With two failures the server loses two of three of its keys to other servers.
        assertEquals("s3", serve(node, key, AttemptResult.ERROR));
        for (int i = 0; i < KEYS && !serve(node, "x" + i, AttemptResult.ERROR).equals("s3"); i++) {
            node.deliverList(ListKind.FULL, List.of());
            node.withServers(SERVERS);
        }
        long kept = 0;
        long moved = 0;
        for (Map.Entry<String, String> e : before.entrySet()) {
            long id = node.requestWithKey(e.getKey(), FakeNode.NON_IDEMPOTENT);
            String now = node.lastAttempt(id).server();
            kept += e.getValue().equals("s3") && now.equals("s3") ? 1 : 0;
            moved += !e.getValue().equals("s3") && !now.equals(e.getValue()) ? 1 : 0;
            node.balancer.onClientGone(node.now, id);
            node.endAttempt(id, AttemptResult.CANCELLED, 0);
        }
        long had = before.values().stream().filter("s3"::equals).count();
        assertTrue(kept < had, "keys kept: " + kept + " of " + had);
        assertTrue(moved < KEYS / 20, "other keys moved: " + moved);
    }

    @Test
    void requestWaitsWhenTheServersOfItsKeyAreFull() {
        FakeNode node = node(0, true);
        Map<String, Integer> used = new HashMap<>();
        long id = 0;
        for (int i = 0; i < 400; i++) {
            id = node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT);
            if (node.lastAttempt(id) != null) {
                used.merge(node.lastAttempt(id).server(), 1, Integer::sum);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 8, used.toString());
        assertNull(node.lastAttempt(id));
        // The waiting request must not block requests for other keys, whose servers have spare capacity.
        long other = node.requestWithKey("cool", FakeNode.NON_IDEMPOTENT);
        node.advance(10_000);
        assertTrue(node.lastAttempt(other) != null || used.size() == SERVERS);
    }

    @Test
    void limitsStartHighWithKeyAffinityAndARejectionCutsThemToTheLoad() {
        FakeNode node = node(0, true);
        long[] ids = new long[24];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT);
            assertEquals(1, node.attempts(ids[i]));
        }
        node.endAttempt(ids[0], AttemptResult.FULL, 1_000);
        String full = node.sent.get(0).server();
        long more = 0;
        for (int i = 0; i < 24; i++) {
            FakeNode.Sent sent = node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT));
            more += sent != null && sent.server().equals(full) ? 1 : 0;
        }
        assertTrue(more <= 1, "sent to the full server: " + more);
    }

    /** Guards against retries at servers that have not cached the key, after a burst of rejections. */
    @Test
    void rejectedRequestIsRetriedAtItsKeysServers() {
        List<List<String>> attemptedServers = new ArrayList<>();
        for (int nodeIndex = 0; nodeIndex < 4; nodeIndex++) {
            FakeNode node = node(nodeIndex, true);
            long id = node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT);
            node.endAttempt(id, AttemptResult.FULL, 1_000);
            node.endAttempt(id, AttemptResult.FULL, 1_000);
            attemptedServers.add(node.sent.stream().map(FakeNode.Sent::server).toList());
        }
        assertEquals(3, new HashSet<>(attemptedServers.get(0)).size());
        // All nodes retry at the same servers.
        assertEquals(1, new HashSet<>(attemptedServers).size());
    }
}
