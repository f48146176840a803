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
    private static final int LEISURELY = 5;

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
    private static String serve(FakeNode node, String key, int classIndex, long latencyUs, double held) {
        long id = node.requestWithKey(key, classIndex);
        node.advance(latencyUs);
        node.balancer.onOutcome(
                node.now, new AttemptOutcome(id, 0, AttemptResult.OK, latencyUs, true, LoadReport.of(0, held)));
        return node.lastAttempt(id).server();
    }

    private static String serve(FakeNode node, String key, double held) {
        return serve(node, key, FakeNode.NON_IDEMPOTENT, LATENCY_US, held);
    }

    private static FakeNode amongServersWithLoad(double held) {
        FakeNode node = node();
        for (int k = 0; k < 400; k++) {
            serve(node, "k" + k, held);
        }
        return node;
    }

    @Test
    void keyGoesToItsNextServerWhileItsFirstIsOverloaded() {
        FakeNode node = amongServersWithLoad(2);
        String home = serve(node, "key", 9);
        assertNotEquals(home, serve(node, "key", 2));
    }

    @Test
    void keyStaysWhereAllServersReportTheSameLoad() {
        FakeNode node = amongServersWithLoad(9);
        String home = serve(node, "key", 9);
        assertEquals(home, serve(node, "key", 9));
    }

    @Test
    void keyReturnsOnceTheReportHasFaded() {
        FakeNode node = amongServersWithLoad(2);
        String home = serve(node, "key", 9);
        node.advance(10 * LATENCY_US);
        assertEquals(home, serve(node, "key", 2));
    }

    /**
     * Guards against overload for the class with the shortest objective: its requests wait behind those of all other
     * classes, whose own objectives do not reveal the overload.
     */
    @Test
    void serverLoadedBeyondTheShortestObjectiveGetsFewer() {
        FakeNode node = amongServersWithLoad(1);
        assertTrue(takenAtOnce(amongServersWithLoad(1)) > 2 * SERVERS);
        for (int k = 0; k < 200; k++) {
            serve(node, "k" + k, LEISURELY, 400_000, 40);
        }
        assertTrue(takenAtOnce(node) <= SERVERS, "one each at most");
    }

    @Test
    void firstAnswersShowThatServersAreOverloaded() {
        FakeNode node = node();
        for (int k = 0; k < 2 * SERVERS; k++) {
            // A server with 40 requests in flight takes 400 ms; the shortest objective is 200 ms.
            serve(node, "k" + k, LEISURELY, 400_000, 40);
        }
        int taken = takenAtOnce(node);
        assertTrue(taken < takenAtOnce(node()) / 2, "taken at once: " + taken);
    }

    private static int takenAtOnce(FakeNode node) {
        int before = node.sent.size();
        for (int k = 0; k < 100; k++) {
            node.requestWithKey("more" + k, FakeNode.NON_IDEMPOTENT);
        }
        return node.sent.size() - before;
    }

    /** How many of 4,000 requests are sent to a warming server that reports this load, while the others report 4. */
    private static long toColdThatHolds(double held) {
        FakeNode node = amongServersWithLoad(4);
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
                                LoadReport.of(0, sent.server().equals("cold") ? held : 4)));
            }
        }
        return node.sentTo("cold");
    }

    @Test
    void warmingServerWithHalfTheMeanLoadGetsMoreOfItsBudget() {
        long idle = toColdThatHolds(1);
        long busy = toColdThatHolds(3);
        assertTrue(idle > 1.3 * busy, "idle " + idle + ", busy " + busy);
        assertTrue(busy > 2 * toColdThatHolds(6), "busy " + busy + ", crowded " + toColdThatHolds(6));
    }

    @Test
    void reportWithoutTheFieldIsIgnored() {
        FakeNode node = amongServersWithLoad(2);
        String home = serve(node, "key", Double.NaN);
        assertEquals(home, serve(node, "key", 2));
    }
}
