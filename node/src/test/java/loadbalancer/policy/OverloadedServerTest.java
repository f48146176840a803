package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Load reports: a server whose load is well above the mean is skipped for a time. */
class OverloadedServerTest {
    private static final int SERVERS = 20;
    private static final long LATENCY_US = 20_000;
    /** Index of a class whose latency objective allows long waits. */
    private static final int LONG_OBJECTIVE = 5;

    private static FakeNode node() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 14;
        settings.classes.add(new RequestClass(
                "leisurely",
                4_000_000,
                0,
                8_000_000,
                1,
                0,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        settings.keyAffinity = true;
        settings.reportFields.add(LoadReportField.QUEUED);
        settings.reportFields.add(LoadReportField.IN_FLIGHT);
        return new FakeNode(settings, 5).withServers(SERVERS);
    }

    /** Serves one request; its server reports this many requests in flight. */
    private static String serve(FakeNode node, String key, int classIndex, long latencyUs, double reportedLoad) {
        long id = node.requestWithKey(key, classIndex);
        node.advance(latencyUs);
        node.balancer.onOutcome(
                node.now, new AttemptOutcome(id, 0, AttemptResult.OK, latencyUs, true, LoadReport.of(0, reportedLoad)));
        return node.lastAttempt(id).server();
    }

    private static String serve(FakeNode node, String key, double reportedLoad) {
        return serve(node, key, FakeNode.NON_IDEMPOTENT, LATENCY_US, reportedLoad);
    }

    private static FakeNode nodeWithServersOfLoad(double reportedLoad) {
        FakeNode node = node();
        for (int k = 0; k < 400; k++) {
            serve(node, "k" + k, reportedLoad);
        }
        return node;
    }

    @Test
    void keyGoesToItsNextServerWhileItsFirstIsOverloaded() {
        FakeNode node = nodeWithServersOfLoad(2);
        String first = serve(node, "key", 9);
        assertNotEquals(first, serve(node, "key", 2));
    }

    @Test
    void keyStaysWhereAllServersReportTheSameLoad() {
        FakeNode node = nodeWithServersOfLoad(9);
        String first = serve(node, "key", 9);
        assertEquals(first, serve(node, "key", 9));
    }

    @Test
    void keyReturnsToItsFirstServerOnceTheReportHasDecayed() {
        FakeNode node = nodeWithServersOfLoad(2);
        String first = serve(node, "key", 9);
        node.advance(10 * LATENCY_US);
        assertEquals(first, serve(node, "key", 2));
    }

    /**
     * Guards against overload for the class with the shortest objective: its requests wait behind those of all other
     * classes, whose own objectives do not reveal the overload.
     */
    @Test
    void serverLoadedBeyondTheShortestObjectiveGetsFewerRequests() {
        FakeNode node = nodeWithServersOfLoad(1);
        assertTrue(sentAtOnce(nodeWithServersOfLoad(1)) > 2 * SERVERS);
        for (int k = 0; k < 200; k++) {
            serve(node, "k" + k, LONG_OBJECTIVE, 400_000, 40);
        }
        assertTrue(sentAtOnce(node) <= SERVERS, "at most one request per server");
    }

    @Test
    void firstResponsesRevealOverloadedServers() {
        FakeNode node = node();
        for (int k = 0; k < 2 * SERVERS; k++) {
            // A server with 40 requests in flight takes 400 ms; the shortest objective is 200 ms.
            serve(node, "k" + k, LONG_OBJECTIVE, 400_000, 40);
        }
        int sent = sentAtOnce(node);
        assertTrue(sent < sentAtOnce(node()) / 2, "sent at once: " + sent);
    }

    private static int sentAtOnce(FakeNode node) {
        int before = node.sent.size();
        for (int k = 0; k < 100; k++) {
            node.requestWithKey("more" + k, FakeNode.NON_IDEMPOTENT);
        }
        return node.sent.size() - before;
    }

    /** How many of 4,000 requests are sent to a warming server that reports this load, while the others report 4. */
    private static long sentToWarmingServerOfLoad(double reportedLoad) {
        FakeNode node = nodeWithServersOfLoad(4);
        node.deliverList(ListKind.CHANGES, List.of(new ServerEntry("cold", 0, 0, ServerState.READY, 1, node.now)));
        for (int k = 0; k < 4_000; k++) {
            long id = node.requestWithKey("k" + k % 400, FakeNode.NON_IDEMPOTENT);
            FakeNode.Sent sent = node.lastAttempt(id);
            node.advance(2_000);
            if (sent != null) {
                node.balancer.onOutcome(
                        node.now,
                        new AttemptOutcome(
                                id,
                                0,
                                AttemptResult.OK,
                                2_000,
                                true,
                                LoadReport.of(0, sent.server().equals("cold") ? reportedLoad : 4)));
            }
        }
        return node.sentTo("cold");
    }

    @Test
    void warmingServerWithHalfTheMeanLoadGetsMoreOfItsBudget() {
        long idle = sentToWarmingServerOfLoad(1);
        long busy = sentToWarmingServerOfLoad(3);
        assertTrue(idle > 1.3 * busy, "idle " + idle + ", busy " + busy);
        assertTrue(
                busy > 2 * sentToWarmingServerOfLoad(6),
                "busy " + busy + ", overloaded " + sentToWarmingServerOfLoad(6));
    }

    @Test
    void reportWithoutTheFieldIsIgnored() {
        FakeNode node = nodeWithServersOfLoad(2);
        String first = serve(node, "key", Double.NaN);
        assertEquals(first, serve(node, "key", 2));
    }
}
