package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The common path of requests: weighted draws, requests in flight, error counts, retries, the queue and limits. */
class BalancerPathTest {

    @Test
    void serverWithFewerRequestsInFlightIsPicked() {
        FakeNode node = new FakeNode().withServers(2);
        String busy = node.lastAttempt(node.request(FakeNode.NON_IDEMPOTENT)).server();
        for (int i = 0; i < 20; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            assertNotEquals(busy, node.lastAttempt(id).server());
            node.endAttempt(id, AttemptResult.OK, 10_000);
        }
    }

    @Test
    void requestsAreSpreadEvenlyWithoutErrors() {
        FakeNode node = new FakeNode().withServers(4);
        Map<String, Integer> hits = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            hits.merge(node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 1_000), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(Math.abs(hits.get("s" + i) - 1_000) < 150, hits.toString());
        }
    }

    @Test
    void lessBusyServerIsPickedDespiteAnError() {
        FakeNode node = new FakeNode().withServers(2);
        long id = node.request(FakeNode.NON_IDEMPOTENT);
        String failing = node.lastAttempt(id).server();
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        long next = node.request(FakeNode.IDEMPOTENT);
        String other = node.lastAttempt(next).server();
        // Despite the error both servers may be drawn; the one with fewer requests in flight is picked.
        String lessBusy = other.equals("s0") ? "s1" : "s0";
        assertEquals(
                lessBusy, node.lastAttempt(node.request(FakeNode.IDEMPOTENT)).server());
        assertTrue(List.of("s0", "s1").contains(failing));
    }

    @Test
    void failedIdempotentRequestIsRetriedAtTheNextServerInListOrder() {
        FakeNode node = new FakeNode().withServers(5);
        long id = node.request(FakeNode.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            int from = Integer.parseInt(node.lastAttempt(id).server().substring(1));
            node.endAttempt(id, AttemptResult.ERROR, 1_000);
            assertEquals("s" + (from + 1) % 5, node.lastAttempt(id).server());
        }
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        assertEquals(4, node.attempts(id));
        assertEquals(List.of(id), node.rejected);
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItNeverRan() {
        FakeNode node = new FakeNode().withServers(3);
        long id = node.request(FakeNode.NON_IDEMPOTENT);
        node.endAttempt(id, AttemptResult.CONNECT_FAILED, 1_000);
        assertEquals(2, node.attempts(id));
        node.endAttempt(id, AttemptResult.RESET, 1_000);
        assertEquals(2, node.attempts(id));
        assertEquals(List.of(id), node.failed);
    }

    @Test
    void queuedRequestsAreSentInOrderOnceThereAreServers() {
        FakeNode node = new FakeNode().withServers(0);
        long first = node.request(FakeNode.NON_IDEMPOTENT);
        long second = node.request(FakeNode.IDEMPOTENT);
        node.advance(50_000);
        assertTrue(node.sent.isEmpty());
        node.deliverList(ListKind.CHANGES, List.of(FakeNode.server("s0"), FakeNode.server("s1")));
        assertEquals(
                List.of(first, second),
                node.sent.stream().map(FakeNode.Sent::request).toList());
    }

    @Test
    void waitingRequestIsRejectedBeforeItsDeadline() {
        FakeNode node = new FakeNode().withServers(0);
        long id = node.request(FakeNode.NON_IDEMPOTENT, 300_000);
        node.advance(299_999);
        assertEquals(List.of(id), node.rejected);
        assertFalse(node.failed.contains(id));
    }

    @Test
    void serverAtItsLimitGetsNoRequestAndTheQueueIsServedByValue() {
        BalancerSettings settings = FakeNode.settings();
        settings.classes.add(new RequestClass(
                "dear", 200_000, 0, 1_000_000, 9, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        settings.nodes = 2;
        FakeNode node = new FakeNode(settings, 3).withServers(2);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(node.request(FakeNode.IDEMPOTENT));
        }
        long valuable = node.request(5);
        // The limit is two per server for each of two nodes: the fifth request and the one of high weight wait.
        assertEquals(4, node.sent.size());
        node.endAttempt(ids.get(0), AttemptResult.OK, 10_000);
        assertEquals(valuable, node.sent.get(4).request());
    }

    @Test
    void slowResponsesLowerALimitAndQuickOnesRaiseIt() {
        FakeNode slow = new FakeNode().withServers(1);
        FakeNode fast = new FakeNode().withServers(1);
        for (int i = 0; i < 30; i++) {
            slow.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 150_000);
            long[] pair = {fast.request(FakeNode.IDEMPOTENT), fast.request(FakeNode.IDEMPOTENT)};
            fast.endAttempt(pair[0], AttemptResult.OK, 5_000);
            fast.endAttempt(pair[1], AttemptResult.OK, 5_000);
        }
        for (int i = 0; i < 8; i++) {
            slow.request(FakeNode.IDEMPOTENT);
            fast.request(FakeNode.IDEMPOTENT);
        }
        assertEquals(1, slow.sent.size() - 30);
        assertTrue(fast.sent.size() - 60 >= 3, "sent " + fast.sent.size());
    }

    @Test
    void serverWithALimitBelowOneIsPausedBetweenRequests() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 8;
        FakeNode node = new FakeNode(settings, 3).withServers(1);
        node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 60_000);
        long id = node.request(FakeNode.IDEMPOTENT);
        node.advance(20_000);
        assertEquals(0, node.attempts(id));
        node.advance(60_000);
        assertEquals(1, node.attempts(id));
    }

    @Test
    void requestsInFlightDoNotExceedTheSumOfAllLimits() {
        // Guards against overload of all servers when each node of a large fleet has one request in flight at every
        // server.
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 8;
        FakeNode node = new FakeNode(settings, 3).withServers(8);
        for (int i = 0; i < 8; i++) {
            node.request(FakeNode.IDEMPOTENT);
        }
        assertEquals(4, node.sent.size());
    }

    @Test
    void responsesFarSlowerThanTheLeastMeanLowerALimitDespiteALongObjective() {
        BalancerSettings settings = FakeNode.settings();
        settings.classes.add(new RequestClass(
                "patient", 20_000_000, 0, 30_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        FakeNode node = new FakeNode(settings, 3).withServers(1);
        for (int i = 0; i < 80; i++) {
            node.completeRequest(5, AttemptResult.OK, i < 40 ? 10_000 : 200_000);
        }
        int before = node.sent.size();
        for (int i = 0; i < 4; i++) {
            node.request(5, 30_000_000);
        }
        assertEquals(1, node.sent.size() - before);
    }

    /**
     * Guards against responses after the objective in an overload. When waiting requests were rejected only half a mean
     * latency before their objective, most responses of an overloaded fleet were late. Where servers take longer than
     * the objective, requests may still wait for a while.
     */
    @ParameterizedTest
    @CsvSource({"50000, 80000", "250000, 30000"})
    void waitingRequestIsRejectedTwoMeanLatenciesBeforeItsObjective(long meanLatencyUs, long stillWaitsUs) {
        FakeNode node = new FakeNode().withServers(1);
        for (int i = 0; i < 40; i++) {
            node.completeRequest(FakeNode.NON_IDEMPOTENT, AttemptResult.OK, meanLatencyUs);
        }
        node.deliverList(ListKind.FULL, List.of());
        long id = node.request(FakeNode.NON_IDEMPOTENT);
        node.advance(stillWaitsUs);
        assertFalse(node.rejected.contains(id));
        node.advance(30_000);
        assertTrue(node.rejected.contains(id));
    }

    /**
     * Guards against a prolonged overload: while half of the responses were late, those on time raised the limits
     * again.
     */
    @Test
    void quickResponsesRaiseLimitsLessWhileOthersAreLate() {
        long[] sent = new long[2];
        for (int late = 0; late < 2; late++) {
            FakeNode node = new FakeNode().withServers(2);
            for (int round = 0; round < 40; round++) {
                List<Long> burst = new ArrayList<>();
                for (int i = 0; i < 40; i++) {
                    burst.add(node.request(FakeNode.NON_IDEMPOTENT));
                }
                node.advance(4_000);
                assertTrue(respondToOne(node, burst, "s1"));
                node.advance(late == 1 ? 210_000 : 0);
                assertTrue(respondToOne(node, burst, "s0"));
                for (long id : burst) {
                    node.balancer.onClientGone(node.now, id);
                    if (node.lastAttempt(id) != null) {
                        node.endAttempt(id, AttemptResult.CANCELLED, 0);
                    }
                }
                node.advance(2_000_000);
            }
            long before = node.sentTo("s1");
            for (int i = 0; i < 100; i++) {
                node.request(FakeNode.NON_IDEMPOTENT);
            }
            sent[late] = node.sentTo("s1") - before;
        }
        assertTrue(sent[1] < sent[0] * 2 / 3, "sent to the quick server: " + sent[1] + " and " + sent[0]);
    }

    private static boolean respondToOne(FakeNode node, List<Long> burst, String server) {
        for (long id : burst) {
            if (node.lastAttempt(id) != null && node.lastAttempt(id).server().equals(server)) {
                node.endAttempt(id, AttemptResult.OK, 0);
                return burst.remove(id);
            }
        }
        return false;
    }
}
