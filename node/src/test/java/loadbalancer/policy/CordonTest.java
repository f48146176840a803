package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers that operators have cordoned. */
class CordonTest {

    private static void cordon(FakeNode node, String... servers) {
        node.balancer.onCordoned(node.now, Set.of(servers));
    }

    @Test
    void cordonedServerGetsNoAttemptsRegardlessOfTheEndpointList() {
        FakeNode node = new FakeNode().withServers(3);
        cordon(node, "s1");
        assertEquals(1, node.balancer.excludedServers());
        node.deliverList(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.GONE, 1, 0)));
        assertEquals(0, node.balancer.excludedServers(), "a server that is not listed is not counted");
        node.deliverList(ListKind.FULL, List.of(FakeNode.server("s0"), FakeNode.server("s1"), FakeNode.server("s2")));
        for (int i = 0; i < 200; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            node.endAttempt(id, i % 3 == 0 ? AttemptResult.FULL : AttemptResult.OK, 1_000);
            if (i % 3 == 0) {
                node.endAttempt(id, AttemptResult.OK, 1_000);
            }
        }
        assertEquals(0, node.sentTo("s1"));
        assertEquals(1, node.balancer.excludedServers());
    }

    @Test
    void ejectedServerThatIsCordonedGetsNoTrialRequest() {
        FakeNode node = new FakeNode().withServers(3);
        node.failUntilEjected("s1");
        cordon(node, "s1");
        assertEquals(1, node.balancer.excludedServers(), "counted once");
        long before = node.sentTo("s1");
        for (int i = 0; i < 500; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 1_000);
            node.advance(20_000);
        }
        assertEquals(before, node.sentTo("s1"));
    }

    @Test
    void uncordonedServerWarmsUpWithClearedErrors() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            boolean failing = node.lastAttempt(id).server().equals("s1");
            node.endAttempt(id, failing ? AttemptResult.ERROR : AttemptResult.OK, 10_000);
            if (failing) {
                node.endAttempt(id, AttemptResult.OK, 0);
            }
        }
        assertEquals(1, node.balancer.excludedServers(), "ejected");
        cordon(node, "s1", "s2");
        node.advance(1_000_000);
        cordon(node, "s2");
        assertEquals(1, node.balancer.excludedServers());
        long before = node.sentTo("s1");
        for (int i = 0; i < 500; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        long since = node.sentTo("s1") - before;
        // Three servers give 500 responses in five seconds: an even share is 167, of which a warming server can handle
        // a fifth at first; half of three times that is the budget of a node.
        assertTrue(since >= 1 && since <= 100, "sent since: " + since);
    }

    @Test
    void uncordonedServerIsWarmIfTheListReportedItsStart() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        cordon(node, "s1");
        node.deliverList(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.READY, 1, node.now)));
        node.advance(node.settings.warmUpUs);
        cordon(node);
        long before = node.sentTo("s1");
        for (int i = 0; i < 400; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        // The server is warm, so it gets about a quarter.
        assertTrue(node.sentTo("s1") - before > 70, "sent since: " + (node.sentTo("s1") - before));
    }

    @Test
    void waitingRequestIsSentOnceAServerIsUncordoned() {
        FakeNode node = new FakeNode().withServers(1);
        cordon(node, "s0");
        long id = node.request(FakeNode.NON_IDEMPOTENT);
        assertEquals(0, node.sent.size());
        node.advance(20_000);
        cordon(node);
        node.advance(500_000);
        assertEquals(1, node.attempts(id));
    }
}
