package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Ejection, trial requests, unresponsive servers, and zones. */
class EjectionTest {

    /**
     * Sends one request and ends its attempts; {@code s0} fails, all others succeed. Returns whether it was sent to
     * {@code s0} first.
     */
    private static boolean sendsToFailingServer(FakeNode node, int classIndex) {
        long id = node.request(classIndex);
        boolean toFailing = node.lastAttempt(id).server().equals("s0");
        node.endAttempt(id, toFailing ? AttemptResult.ERROR : AttemptResult.OK, 5_000);
        if (toFailing && node.attempts(id) > 1) {
            node.endAttempt(id, AttemptResult.OK, 5_000);
        }
        return toFailing;
    }

    /** A node with four servers, after 400 requests of which {@code s0} has failed all that it received. */
    private static FakeNode withFailingServer() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 400; i++) {
            sendsToFailingServer(node, FakeNode.IDEMPOTENT);
        }
        return node;
    }

    private static void assertEjected(FakeNode node) {
        assertTrue(
                node.ejectionLog.stream().anyMatch(l -> l.startsWith("ejected server s0")),
                node.ejectionLog.toString());
    }

    @Test
    void failingServerIsEjectedAndGetsTrialRequestsAtGrowingIntervals() {
        FakeNode node = withFailingServer();
        assertEjected(node);
        int hits = 0;
        long from = node.now;
        while (node.now < from + 20_000_000) {
            hits += sendsToFailingServer(node, FakeNode.IDEMPOTENT) ? 1 : 0;
        }
        assertTrue(hits >= 2 && hits <= 14, "trials in 20 s: " + hits);
    }

    /** Sends enough requests at once to fill the healthy servers; returns how many attempts went to {@code s0}. */
    private static long sentInOverload(FakeNode node, int classIndex, AttemptResult result) {
        List<Long> requests = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            requests.add(node.request(classIndex));
        }
        long before = node.sentTo("s0");
        for (int round = 0; round < 100; round++) {
            node.advance(1_000);
            for (long id : requests) {
                FakeNode.Sent last = node.lastAttempt(id);
                if (last != null && last.server().equals("s0") && last.atUs() == node.now - 1_000) {
                    node.endAttempt(id, result, 0);
                }
            }
        }
        return node.sentTo("s0") - before;
    }

    @Test
    void whenOthersAreFullServerWithErrorsGetsIdempotentRequestsButNotTheirLastAttempt() {
        FakeNode node = withFailingServer();
        assertEjected(node);
        long sent = sentInOverload(node, FakeNode.IDEMPOTENT, AttemptResult.ERROR);
        assertTrue(sent >= 10, "sent as a fallback: " + sent);
        for (long id = 401; id <= 460; id++) {
            long request = id;
            long toFailing = node.sent.stream()
                    .filter(s -> s.request() == request && s.server().equals("s0"))
                    .count();
            assertTrue(toFailing < node.settings.maxAttempts, "attempts of one request: " + toFailing);
        }
        assertEquals(
                0,
                sentInOverload(withFailingServer(), FakeNode.NON_IDEMPOTENT, AttemptResult.ERROR),
                "non-idempotent requests sent");
    }

    @Test
    void whenOthersAreFullServerWithoutResponsesGetsAtMostTwoRequests() {
        long sent = sentInOverload(withFailingServer(), FakeNode.IDEMPOTENT, AttemptResult.RESET);
        assertTrue(sent <= 2, "sent: " + sent);
    }

    @Test
    void nonIdempotentRequestsAreNotUsedAsTrialRequests() {
        FakeNode node = withFailingServer();
        node.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!sendsToFailingServer(node, FakeNode.NON_IDEMPOTENT));
        }
    }

    @Test
    void threeSuccessesInARowEndAnEjectionAndOneDoesNot() {
        FakeNode node = withFailingServer();
        node.advance(20_000_000);
        assertEquals("s0", node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(node.ejectionLog.stream().noneMatch(l -> l.startsWith("restored")));
        assertEquals("s0", node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertEquals("s0", node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(node.ejectionLog.stream().anyMatch(l -> l.equals("restored server s0")));
    }

    /**
     * Sends an idempotent request and ends its attempts; returns how many went to the first {@code failingServers}
     * servers, which fail.
     */
    private static int attemptsAtFailingServers(FakeNode node, int failingServers) {
        long id = node.request(FakeNode.IDEMPOTENT);
        int hits = 0;
        for (int attempt = 0; attempt < node.attempts(id); attempt++) {
            boolean hit = Integer.parseInt(node.lastAttempt(id).server().substring(1)) < failingServers;
            hits += hit ? 1 : 0;
            node.endAttempt(id, hit ? AttemptResult.ERROR : AttemptResult.OK, 100);
        }
        return hits;
    }

    /**
     * Guards against trial requests to a failed zone that, from every node of a large fleet, took most of the
     * idempotent requests.
     */
    @Test
    void trialRequestsOfManyEjectedServersAreASmallShareOfRequests() {
        FakeNode node = new FakeNode().withServers(40);
        for (int i = 0; i < 2_000; i++) {
            attemptsAtFailingServers(node, 15);
        }
        int trials = 0;
        for (int i = 0; i < 250; i++) {
            trials += attemptsAtFailingServers(node, 15);
            node.advance(20_000);
        }
        assertTrue(trials >= 4 && trials <= 25, "trials among 250 requests: " + trials);
    }

    /**
     * Guards against overload of a server whose ejection ends: it may be a new process without cached keys, which the
     * endpoint list shows only later.
     */
    @Test
    void restoredServerIsNotOverloadedAtOnceWithKeyAffinity() {
        BalancerSettings settings = FakeNode.settings();
        settings.nodes = 14;
        settings.keyAffinity = true;
        FakeNode node = new FakeNode(settings, 5).withServers(10);
        boolean recovered = false;
        for (int i = 0; node.ejectionLog.stream().noneMatch(l -> l.equals("restored server s0")); i++) {
            assertTrue(i < 3_000, node.ejectionLog.toString());
            long id = node.requestWithKey("k" + i, FakeNode.IDEMPOTENT);
            for (int attempt = 0; attempt < node.attempts(id); attempt++) {
                boolean fails = node.lastAttempt(id).server().equals("s0") && !recovered;
                node.endAttempt(id, fails ? AttemptResult.ERROR : AttemptResult.OK, 5_000);
            }
            if (!recovered && node.ejectionLog.stream().anyMatch(l -> l.startsWith("ejected server s0"))) {
                recovered = true;
                // No trial request is due before this time has passed.
                node.advance(2_000_000);
            }
        }
        long before = node.sentTo("s0");
        for (int i = 0; i < 200; i++) {
            node.requestWithKey("k" + i, FakeNode.NON_IDEMPOTENT);
        }
        assertTrue(node.sentTo("s0") - before <= 1, "sent at once: " + (node.sentTo("s0") - before));
    }

    @Test
    void noMoreThanHalfOfTheServersAreEjected() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 300; i++) {
            node.completeRequest(FakeNode.NON_IDEMPOTENT, AttemptResult.ERROR, 5_000);
        }
        // All servers fail: at most two may be ejected, and requests must still be sent to the others instead of
        // waiting.
        long id = node.request(FakeNode.NON_IDEMPOTENT);
        assertNotEquals(null, node.lastAttempt(id));
    }

    @Test
    void unresponsiveServerIsAvoidedBeforeAnyDeadlinePasses() {
        FakeNode node = new FakeNode().withServers(4);
        for (int i = 0; i < 100; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        int toUnresponsive = 0;
        for (int i = 0; i < 80; i++) {
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            if (node.lastAttempt(id).server().equals("s0")) {
                toUnresponsive++;
            } else {
                node.endAttempt(id, AttemptResult.OK, 10_000);
            }
        }
        assertTrue(toUnresponsive <= 5, "sent to the unresponsive server: " + toUnresponsive);
    }

    @Test
    void overloadedServerThatStillRespondsIsNotEjectedForTimeouts() {
        FakeNode node = new FakeNode().withServers(2);
        for (int round = 0; round < 80; round++) {
            // Always sends one request more than the limits allow, so that the limits are reached and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(node.request(FakeNode.IDEMPOTENT));
            } while (node.lastAttempt(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> node.endAttempt(id, AttemptResult.OK, 100));
        }
        List<Long> requests = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            requests.add(node.request(FakeNode.IDEMPOTENT, 30_000));
        }
        for (String server : List.of("s0", "s1")) {
            long responded = requests.stream()
                    .filter(id -> node.lastAttempt(id).server().equals(server))
                    .findFirst()
                    .get();
            node.endAttempt(responded, AttemptResult.OK, 1_000);
            requests.remove(responded);
        }
        node.advance(28_000);
        requests.forEach(id -> node.endAttempt(id, AttemptResult.TIMEOUT, 0));
        assertTrue(node.ejectionLog.stream().noneMatch(l -> l.startsWith("ejected")), node.ejectionLog.toString());
    }

    @Test
    void localServersArePreferredWhereCrossingZonesHasACostUntilTheyAreBusy() {
        BalancerSettings settings = FakeNode.settings();
        settings.crossZoneCost = 0.02;
        FakeNode node = new FakeNode(settings, 5);
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new ServerEntry("s" + i, i < 2 ? 0 : 1, 0, ServerState.READY, 1, 0));
        }
        node.deliverList(ListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            assertTrue(
                    List.of("s0", "s1").contains(node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 5_000)));
        }
        long crossed = 0;
        for (int i = 0; i < 12; i++) {
            long id = node.request(FakeNode.IDEMPOTENT);
            crossed += List.of("s0", "s1").contains(node.lastAttempt(id).server()) ? 0 : 1;
        }
        assertTrue(crossed >= 6, "requests that crossed zones: " + crossed);
    }

    @Test
    void attemptsStuckAtARemovedServerDoNotLimitTheOthers() {
        // Guards against a node whose total limit is used up by attempts at servers that are no longer in use.
        FakeNode node = new FakeNode().withServers(1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(null, node.lastAttempt(node.request(FakeNode.NON_IDEMPOTENT)));
        }
        node.deliverList(ListKind.FULL, List.of(FakeNode.server("other")));
        for (int i = 0; i < 3; i++) {
            FakeNode.Sent sent = node.lastAttempt(node.request(FakeNode.NON_IDEMPOTENT));
            assertTrue(sent != null && sent.server().equals("other"), "request " + i + " at " + sent);
        }
    }
}
