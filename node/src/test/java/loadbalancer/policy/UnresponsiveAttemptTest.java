package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Unresponsive attempts, hedged requests, and ejection for one class. */
class UnresponsiveAttemptTest {
    private static final long MEAN_LATENCY_US = 10_000;

    private static FakeNode nodeWithKnownLatency(BalancerSettings settings, int servers) {
        FakeNode node = new FakeNode(settings, 11).withServers(servers);
        for (int i = 0; i < 200; i++) {
            node.completeRequest(i % 5, AttemptResult.OK, MEAN_LATENCY_US);
        }
        return node;
    }

    private static boolean logged(FakeNode node, String start) {
        return node.ejectionLog.stream().anyMatch(l -> l.startsWith(start));
    }

    /** Sends a request of this class that gets no response if it is sent to {@code s0}; all other servers respond. */
    private static boolean getsNoResponse(FakeNode node, int classIndex) {
        long id = node.request(classIndex);
        if (!node.lastAttempt(id).server().equals("s0")) {
            node.endAttempt(id, AttemptResult.OK, MEAN_LATENCY_US);
            return false;
        }
        node.advance(30 * MEAN_LATENCY_US);
        // The client leaves long before its deadline, so no timeout ever reveals the fault.
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(
                node.now, new AttemptOutcome(id, 0, AttemptResult.CANCELLED, 30 * MEAN_LATENCY_US, true, null));
        return true;
    }

    @Test
    void serverThatDropsRequestsIsEjectedThoughClientsLeaveBeforeTheTimeout() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        int lost = 0;
        for (int i = 0; i < 200; i++) {
            lost += getsNoResponse(node, FakeNode.NON_IDEMPOTENT) ? 1 : 0;
        }
        assertTrue(logged(node, "ejected server s0"), node.ejectionLog.toString());
        assertTrue(lost <= 8, "lost at the unresponsive server: " + lost);
    }

    @Test
    void clientsThatLeaveAfterAShortWaitDoNotCountAgainstTheServer() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        for (int i = 0; i < 200; i++) {
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            node.advance(MEAN_LATENCY_US / 2);
            node.balancer.onClientGone(node.now, id);
            node.balancer.onOutcome(
                    node.now, new AttemptOutcome(id, 0, AttemptResult.CANCELLED, MEAN_LATENCY_US / 2, true, null));
        }
        assertTrue(node.ejectionLog.isEmpty(), node.ejectionLog.toString());
    }

    @Test
    void clientThatLeavesCancelsBothAttemptsOfItsRequest() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        long id = node.request(FakeNode.IDEMPOTENT);
        node.advance(10 * MEAN_LATENCY_US);
        assertEquals(2, node.attempts(id));
        node.balancer.onClientGone(node.now, id);
        assertEquals(List.of(id + "/0", id + "/1"), node.cancelled);
        node.balancer.onOutcome(
                node.now, new AttemptOutcome(id, 0, AttemptResult.RESET, 10 * MEAN_LATENCY_US, true, null));
        node.advance(10 * MEAN_LATENCY_US);
        assertEquals(2, node.attempts(id), "no further attempt is sent");
    }

    @Test
    void idempotentRequestIsHedgedAtASecondServerWhenTheFirstIsUnresponsive() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        long id = node.request(FakeNode.IDEMPOTENT);
        String unresponsive = node.lastAttempt(id).server();
        node.advance(10 * MEAN_LATENCY_US);
        assertEquals(2, node.attempts(id));
        assertNotEquals(unresponsive, node.lastAttempt(id).server());
        long nonIdempotent = node.request(FakeNode.NON_IDEMPOTENT);
        node.advance(10 * MEAN_LATENCY_US);
        assertEquals(1, node.attempts(nonIdempotent));
    }

    @Test
    void nothingIsHedgedWhereSettingsForbidIt() {
        BalancerSettings settings = FakeNode.settings();
        settings.hedging = false;
        FakeNode node = nodeWithKnownLatency(settings, 4);
        long id = node.request(FakeNode.IDEMPOTENT);
        node.advance(10 * MEAN_LATENCY_US);
        assertEquals(1, node.attempts(id));
    }

    @Test
    void hedgedRequestsAreABudgetedShareOfFirstAttempts() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 40);
        int before = node.sent.size();
        for (int i = 0; i < 300; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            node.advance(10 * MEAN_LATENCY_US);
            int attempts = node.attempts(id);
            for (int attempt = 0; attempt < attempts; attempt++) {
                node.balancer.onOutcome(
                        node.now, new AttemptOutcome(id, attempt, AttemptResult.OK, 10_000, true, null));
            }
        }
        int hedges = node.sent.size() - before - 300;
        assertTrue(hedges >= 20 && hedges <= 85, "hedged requests of 300: " + hedges);
    }

    @Test
    void pauseOfTheNodeDoesNotMakeServersUnresponsive() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(node.request(FakeNode.IDEMPOTENT));
        }
        int sent = node.sent.size();
        // The node is paused for a second: the late wake-up is handled first, then the responses.
        node.now += 1_000_000 - 1;
        node.balancer.onWake(node.now);
        ids.forEach(id -> node.balancer.onOutcome(
                node.now, new AttemptOutcome(id, 0, AttemptResult.OK, MEAN_LATENCY_US, true, null)));
        assertEquals(sent, node.sent.size());
        assertTrue(node.ejectionLog.isEmpty(), node.ejectionLog.toString());
    }

    @Test
    void serverThatFailsOneClassIsEjectedForItAndServesTheOthers() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        int failed = 0;
        int served = 0;
        for (int i = 0; i < 600; i++) {
            int classIndex = i % 2 == 0 ? FakeNode.NON_IDEMPOTENT : FakeNode.IDEMPOTENT;
            long id = node.request(classIndex);
            boolean fails = node.lastAttempt(id).server().equals("s0") && classIndex == FakeNode.NON_IDEMPOTENT;
            failed += fails ? 1 : 0;
            served += node.lastAttempt(id).server().equals("s0") && !fails ? 1 : 0;
            node.endAttempt(id, fails ? AttemptResult.ERROR : AttemptResult.OK, MEAN_LATENCY_US);
        }
        assertTrue(logged(node, "ejected server s0 after 4 failures of class unsafe"), node.ejectionLog.toString());
        assertTrue(failed <= 8, "failed at s0: " + failed);
        assertTrue(served >= 40, "served by s0 in the other class: " + served);
    }

    @Test
    void ejectionForNonIdempotentClassEndsAfterTrialRequests() {
        FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 4);
        for (int i = 0; i < 200 && node.ejectionLog.isEmpty(); i++) {
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            node.endAttempt(
                    id,
                    node.lastAttempt(id).server().equals("s0") ? AttemptResult.ERROR : AttemptResult.OK,
                    MEAN_LATENCY_US);
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, MEAN_LATENCY_US);
        }
        assertTrue(logged(node, "ejected server s0"), node.ejectionLog.toString());
        for (int i = 0; i < 400; i++) {
            node.completeRequest(FakeNode.NON_IDEMPOTENT, AttemptResult.OK, MEAN_LATENCY_US);
        }
        assertTrue(logged(node, "restored server s0"), node.ejectionLog.toString());
    }

    /**
     * Guards against limits that grow into an overload: clients left before slow responses came, so that only quick
     * responses were counted.
     */
    @Test
    void longWaitsOfClientsThatLeaveLowerLimits() {
        int[] sentAtOnce = new int[2];
        for (int leave = 0; leave < 2; leave++) {
            FakeNode node = nodeWithKnownLatency(FakeNode.settings(), 1);
            for (int i = 0; i < 30; i++) {
                long id = node.request(FakeNode.NON_IDEMPOTENT);
                if (leave == 1) {
                    node.advance(12 * MEAN_LATENCY_US);
                    node.balancer.onClientGone(node.now, id);
                    node.endAttempt(id, AttemptResult.CANCELLED, 0);
                } else {
                    node.endAttempt(id, AttemptResult.OK, MEAN_LATENCY_US);
                }
            }
            int before = node.sent.size();
            for (int i = 0; i < 20; i++) {
                node.request(FakeNode.NON_IDEMPOTENT);
            }
            sentAtOnce[leave] = node.sent.size() - before;
        }
        assertTrue(
                sentAtOnce[1] < sentAtOnce[0] && sentAtOnce[1] <= 2,
                "sent at once: " + sentAtOnce[1] + " and " + sentAtOnce[0]);
    }
}
