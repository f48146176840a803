package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Large fleets: subsets of the servers, slow responses counted as errors, load shedding. */
class LargeFleetTest {
    private static final int NODES = 240;
    private static final int SERVERS = 40;

    private static FakeNode node(int nodeIndex) {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = NODES;
        settings.nodeIndex = nodeIndex;
        return new FakeNode(settings, 100 + nodeIndex);
    }

    /** The servers that a node sends to when all respond quickly and requests come one at a time. */
    private static Set<String> serversInUse(FakeNode node) {
        return serversInUse(node, 100);
    }

    private static Set<String> serversInUse(FakeNode node, int requests) {
        Set<String> servers = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            servers.add(node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 5_000));
            node.advance(200_000);
        }
        return servers;
    }

    private static List<ServerEntry> started(int from, int to, long at) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = from; i < to; i++) {
            entries.add(new ServerEntry("s" + i, 0, 0, ServerState.READY, 1, at));
        }
        return entries;
    }

    /**
     * Guards against subsets that differ between versions: nodes of two versions run side by side during an upgrade of
     * a fleet, and both must select the same subsets.
     */
    @Test
    void subsetsAreTheSameInEveryVersion() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 1_200;
        settings.nodeIndex = 7;
        FakeNode node = new FakeNode(settings, 7);
        Set<String> used = serversInUse(node.withServers(2_000), 3_000);
        assertEquals(40, used.size(), used.toString());
        assertEquals(-1973667710, new TreeSet<>(used).hashCode(), used.toString());
    }

    @Test
    void nodesOfALargeFleetUseSubsetsThatShareServersEvenly() {
        Map<String, Integer> nodeCounts = new HashMap<>();
        for (int nodeIndex = 0; nodeIndex < NODES; nodeIndex++) {
            Set<String> used = serversInUse(node(nodeIndex).withServers(SERVERS));
            assertTrue(used.size() >= 3 && used.size() <= 5, "node " + nodeIndex + " uses " + used);
            used.forEach(s -> nodeCounts.merge(s, 1, Integer::sum));
        }
        assertEquals(SERVERS, nodeCounts.size());
        nodeCounts.forEach((s, n) -> assertTrue(n >= 16 && n <= 36, s + " is shared by " + n));
    }

    @Test
    void subsetsShrinkWithTheFleet() {
        Map<String, Integer> nodeCounts = new HashMap<>();
        for (int nodeIndex = 0; nodeIndex < NODES; nodeIndex++) {
            serversInUse(node(nodeIndex).withServers(8)).forEach(s -> nodeCounts.merge(s, 1, Integer::sum));
        }
        nodeCounts.forEach((s, n) -> assertTrue(n <= 80, s + " is shared by " + n));
    }

    @Test
    void smallFleetUsesAllServers() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 5;
        assertEquals(20, serversInUse(new FakeNode(settings, 3).withServers(20)).size());
    }

    @Test
    void removedServerMovesFewOthersAndConnectionsToUnusedServersAreClosed() {
        int moved = 0;
        for (int nodeIndex = 0; nodeIndex < 60; nodeIndex++) {
            FakeNode node = node(nodeIndex).withServers(SERVERS);
            Set<String> before = serversInUse(node);
            node.closedIdle.clear();
            node.deliverList(ListKind.CHANGES, List.of(new ServerEntry("s7", 0, 0, ServerState.GONE, 1, 0)));
            Set<String> after = serversInUse(node);
            assertFalse(after.contains("s7"));
            for (String server : before) {
                assertEquals(!after.contains(server), node.closedIdle.contains(server), server);
                moved += after.contains(server) || server.equals("s7") ? 0 : 1;
            }
        }
        assertTrue(moved < 60, "servers that left subsets: " + moved + " of 240");
    }

    @Test
    void slowServerGetsFewerRequestsWhereManyNodesShareIt() {
        FakeNode node = node(1).withServers(SERVERS);
        String slow = serversInUse(node).stream().sorted().findFirst().orElseThrow();
        int hits = 0;
        for (int i = 0; i < 400; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            boolean hit = node.lastAttempt(id).server().equals(slow);
            hits += hit ? 1 : 0;
            node.endAttempt(id, AttemptResult.OK, hit ? 12_000 : 4_000);
            node.advance(200_000);
        }
        // An even share would be 100, and two draws would not lower it while nothing is in flight.
        assertTrue(hits < 70, "slow server was sent " + hits + " of 400");
    }

    @Test
    void lateResponsesMakeANodeOfALargeFleetShedLoad() {
        FakeNode node = node(2).withServers(SERVERS);
        serversInUse(node);
        int rejectedAtOnce = 0;
        for (int i = 0; i < 200; i++) {
            int before = node.rejected.size();
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            rejectedAtOnce += node.rejected.size() - before;
            if (node.attempts(id) > 0) {
                node.endAttempt(id, AttemptResult.OK, 300_000);
            }
            node.advance(4_000_000);
        }
        assertTrue(rejectedAtOnce > 100 && rejectedAtOnce < 200, "rejected at once: " + rejectedAtOnce);
        // Some requests are still admitted, so the node detects that responses are on time again.
        for (int i = 0; i < 400; i++) {
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            if (node.attempts(id) > 0) {
                node.endAttempt(id, AttemptResult.OK, 5_000);
            }
            node.advance(4_000_000);
        }
        int rejected = node.rejected.size();
        serversInUse(node);
        assertEquals(rejected, node.rejected.size());
    }

    @Test
    void nodeOfALargeFleetSendsABurstAheadOfLimitsWhileResponsesAreOnTime() {
        FakeNode node = node(3).withServers(SERVERS);
        serversInUse(node);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, node.attempts(node.request(FakeNode.IDEMPOTENT)), "request " + i + " of the burst");
        }
    }
}
