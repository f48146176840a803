package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which attempts and final responses are allowed, in single cases; polling of the endpoint list; invalid input. */
class AllowedAttemptsTest {

    private static ServerEntry entry(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** Whether a first attempt with this result is retried, and otherwise which final response is given. */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, again",
        "0, FULL, again",
        "0, TIMEOUT, again",
        "0, CONNECT_FAILED, again",
        "0, RESET, again",
        "1, ERROR, again",
        "1, FULL, again",
        "1, TIMEOUT, again",
        "1, CONNECT_FAILED, again",
        "1, RESET, again",
        "3, ERROR, again",
        "3, FULL, again",
        "3, TIMEOUT, again",
        "3, CONNECT_FAILED, again",
        "3, RESET, again",
        "4, ERROR, failed",
        "4, FULL, again",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, again",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, MOOT, again"
    })
    void retryOrFinalResponseDependsOnClassAndResult(int classIndex, AttemptResult result, String expected) {
        FakeNode node = new FakeNode().withServers(4);
        long id = node.request(classIndex);
        node.endAttempt(id, result, 1_000);
        assertEquals(expected.equals("again") ? 2 : 1, node.attempts(id));
        assertEquals(expected.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.rejected);
    }

    @Test
    void keyedRequestThatMayHaveRunStaysInItsCellOrZone() {
        for (int classIndex : new int[] {FakeNode.KEYED_CELL, FakeNode.KEYED_ZONE}) {
            FakeNode node = new FakeNode();
            node.deliverList(
                    ListKind.CACHED,
                    List.of(
                            entry("a", 0, 1, ServerState.READY),
                            entry("x", 1, 2, ServerState.READY),
                            entry("b", 0, 1, ServerState.READY),
                            entry("y", 1, 2, ServerState.READY)));
            long id = node.request(classIndex);
            String first = node.lastAttempt(id).server();
            node.endAttempt(id, AttemptResult.RESET, 1_000);
            String second = node.lastAttempt(id).server();
            assertEquals(2, node.attempts(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void keyedRequestThatNeverRanMayGoToAnyServer() {
        FakeNode node = new FakeNode();
        node.deliverList(
                ListKind.CACHED, List.of(entry("a", 0, 1, ServerState.READY), entry("x", 1, 2, ServerState.READY)));
        long id = node.request(FakeNode.KEYED_CELL);
        node.endAttempt(id, AttemptResult.FULL, 1_000);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void keyedRequestIsNotRetriedAfterItsWindowAndRejectedOnlyIfAllServersDeduplicate() {
        for (int classIndex : new int[] {FakeNode.KEYED_ALL, FakeNode.KEYED_CELL}) {
            FakeNode node = new FakeNode().withServers(3);
            long id = node.request(classIndex);
            node.endAttempt(id, AttemptResult.ERROR, 400_001);
            assertEquals(1, node.attempts(id));
            assertEquals(classIndex == FakeNode.KEYED_ALL ? List.of(id) : List.of(), node.rejected);
            assertEquals(classIndex == FakeNode.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void deduplicationWindowCountsFromTheFirstAttemptThatMayHaveRun() {
        FakeNode node = new FakeNode().withServers(4);
        long id = node.request(FakeNode.KEYED_ALL);
        node.endAttempt(id, AttemptResult.CONNECT_FAILED, 300_000);
        node.endAttempt(id, AttemptResult.ERROR, 300_000);
        assertEquals(3, node.attempts(id));
        node.endAttempt(id, AttemptResult.ERROR, 100_001);
        assertEquals(3, node.attempts(id));
    }

    @Test
    void requestThatTimesOutAtItsDeadlineGetsItsFinalResponseAtOnce() {
        FakeNode node = new FakeNode().withServers(3);
        long idempotent = node.request(FakeNode.IDEMPOTENT, 100_000);
        long nonIdempotent = node.request(FakeNode.NON_IDEMPOTENT, 100_000);
        node.endAttempt(idempotent, AttemptResult.TIMEOUT, 100_000);
        node.endAttempt(nonIdempotent, AttemptResult.TIMEOUT, 0);
        assertEquals(List.of(idempotent), node.rejected);
        assertEquals(List.of(nonIdempotent), node.failed);
        node.advance(1_000_000);
        assertEquals(1, node.attempts(idempotent));
    }

    @Test
    void attemptsEndByTheDeadline() {
        FakeNode node = new FakeNode().withServers(3);
        long id = node.request(FakeNode.IDEMPOTENT, 123_000);
        assertEquals(node.now + 123_000, node.lastAttempt(id).endByUs());
    }

    @Test
    void clientThatHasLeftGetsNoFinalResponse() {
        FakeNode node = new FakeNode().withServers(1);
        long id = node.request(FakeNode.IDEMPOTENT);
        node.balancer.onClientGone(node.now, id);
        node.endAttempt(id, AttemptResult.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.attempts(id));
        assertTrue(node.rejected.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new AttemptOutcome(id, 0, AttemptResult.OK, 1, true, null));
    }

    @Test
    void drainingAndRemovedServersGetNoAttempts() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            FakeNode node = new FakeNode().withServers(2);
            node.deliverList(ListKind.CHANGES, List.of(entry("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "s1",
                        node.completeRequest(
                                FakeNode.NON_IDEMPOTENT, i % 3 == 0 ? AttemptResult.ERROR : AttemptResult.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void removedServersAreDropped() {
        FakeNode node = new FakeNode().withServers(1);
        for (int i = 0; i < 500; i++) {
            node.deliverList(ListKind.CHANGES, List.of(FakeNode.server("t" + i)));
            node.completeRequest(FakeNode.NON_IDEMPOTENT, AttemptResult.ERROR, 1_000);
            node.deliverList(ListKind.CHANGES, List.of(entry("t" + i, 0, 0, ServerState.GONE)));
        }
        assertEquals(1, ((ServiceQBalancer) node.balancer).knownServers());
    }

    @Test
    void fullListRemovesMissingServers() {
        FakeNode node = new FakeNode().withServers(2);
        node.deliverList(ListKind.FULL, List.of(FakeNode.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 1_000));
        }
    }

    @Test
    void listIsPolledAtOnceAndAfterFailuresWithJitteredBackoff() {
        BalancerSettings settings = FakeNode.settings();
        settings.pollsEndpointList = true;
        FakeNode node = new FakeNode(settings, 1).withServers(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(settings.pollIntervalUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.deliverList(ListKind.CHANGES, List.of());
        node.advance(10 * settings.pollIntervalUs);
        assertEquals(7, node.subscriptions);
    }

    @Test
    void pollWithoutResponseIsRepeatedWithinThePollInterval() {
        BalancerSettings settings = FakeNode.settings();
        settings.pollsEndpointList = true;
        FakeNode node = new FakeNode(settings, 1).withServers(1);
        node.advance(settings.pollIntervalUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeThrow() {
        BalancerSettings empty = new BalancerSettings();
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(empty, 1));
        BalancerSettings negative = FakeNode.settings();
        negative.warmUpUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(negative, 1));
        BalancerSettings zone = FakeNode.settings();
        zone.localZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(zone, 1));
        FakeNode node = new FakeNode().withServers(1);
        assertThrows(IllegalArgumentException.class, () -> node.request(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new BalancerRequest(5, 0, 7, 1_000, 0, false, null)));
        node.balancer.onRequest(node.now, new BalancerRequest(6, 0, -1, 1_000_000, 0, false, null));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new BalancerRequest(6, 0, -1, 1_000_000, 0, false, null)));
    }
}
