package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rules 1 to 3 in named cases. */
class RulesTest {

    private static ServerEntry in(String id, int zone, int cell, ServerState state) {
        return new ServerEntry(id, zone, cell, state, 1, 0);
    }

    /** After a first attempt that ends so: does another follow, and else which final answer? */
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
    void repeatsFollowTheClass(int classIndex, AttemptResult result, String then) {
        FakeNode node = new FakeNode().with(4);
        long id = node.ask(classIndex);
        node.answer(id, result, 1_000);
        assertEquals(then.equals("again") ? 2 : 1, node.attempts(id));
        assertEquals(then.equals("failed") ? List.of(id) : List.of(), node.failed);
        assertEquals(List.of(), node.refused);
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsCellAndZone() {
        for (int classIndex : new int[] {FakeNode.KEYED_CELL, FakeNode.KEYED_ZONE}) {
            FakeNode node = new FakeNode();
            node.list(
                    ListKind.CACHED,
                    List.of(
                            in("a", 0, 1, ServerState.READY),
                            in("x", 1, 2, ServerState.READY),
                            in("b", 0, 1, ServerState.READY),
                            in("y", 1, 2, ServerState.READY)));
            long id = node.ask(classIndex);
            String first = node.last(id).server();
            node.answer(id, AttemptResult.RESET, 1_000);
            String second = node.last(id).server();
            assertEquals(2, node.attempts(id));
            assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
        }
    }

    @Test
    void aKeyedRequestThatSurelyNeverRanMayGoAnywhere() {
        FakeNode node = new FakeNode();
        node.list(ListKind.CACHED, List.of(in("a", 0, 1, ServerState.READY), in("x", 1, 2, ServerState.READY)));
        long id = node.ask(FakeNode.KEYED_CELL);
        node.answer(id, AttemptResult.FULL, 1_000);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void aKeyedRequestIsNotRepeatedAfterItsWindowAndRefusedOnlyIfAllDropRepeats() {
        for (int classIndex : new int[] {FakeNode.KEYED_ALL, FakeNode.KEYED_CELL}) {
            FakeNode node = new FakeNode().with(3);
            long id = node.ask(classIndex);
            node.answer(id, AttemptResult.ERROR, 400_001);
            assertEquals(1, node.attempts(id));
            assertEquals(classIndex == FakeNode.KEYED_ALL ? List.of(id) : List.of(), node.refused);
            assertEquals(classIndex == FakeNode.KEYED_ALL ? List.of() : List.of(id), node.failed);
        }
    }

    @Test
    void theWindowCountsFromTheFirstAttemptThatMayHaveRun() {
        FakeNode node = new FakeNode().with(4);
        long id = node.ask(FakeNode.KEYED_ALL);
        node.answer(id, AttemptResult.CONNECT_FAILED, 300_000);
        node.answer(id, AttemptResult.ERROR, 300_000);
        assertEquals(3, node.attempts(id));
        node.answer(id, AttemptResult.ERROR, 100_001);
        assertEquals(3, node.attempts(id));
    }

    @Test
    void aTimeOutAtTheDeadlineIsAnsweredAtOnceAndNothingFollows() {
        FakeNode node = new FakeNode().with(3);
        long safe = node.ask(FakeNode.IDEMPOTENT, 100_000);
        long unsafe = node.ask(FakeNode.NON_IDEMPOTENT, 100_000);
        node.answer(safe, AttemptResult.TIMEOUT, 100_000);
        node.answer(unsafe, AttemptResult.TIMEOUT, 0);
        assertEquals(List.of(safe), node.refused);
        assertEquals(List.of(unsafe), node.failed);
        node.advance(1_000_000);
        assertEquals(1, node.attempts(safe));
    }

    @Test
    void noAttemptIsSentToEndAfterTheClientsTime() {
        FakeNode node = new FakeNode().with(3);
        long id = node.ask(FakeNode.IDEMPOTENT, 123_000);
        assertEquals(node.now + 123_000, node.last(id).untilUs());
    }

    @Test
    void nothingIsOwedToAClientThatHasGone() {
        FakeNode node = new FakeNode().with(1);
        long id = node.ask(FakeNode.IDEMPOTENT);
        node.balancer.onClientGone(node.now, id);
        node.answer(id, AttemptResult.ERROR, 1_000);
        node.advance(2_000_000);
        assertEquals(1, node.attempts(id));
        assertTrue(node.refused.isEmpty() && node.failed.isEmpty());
        node.balancer.onClientGone(node.now, id);
        node.balancer.onOutcome(node.now, new AttemptOutcome(id, 0, AttemptResult.OK, 1, true, null));
    }

    @Test
    void nothingGoesToADrainingOrGoneServer() {
        for (ServerState state : new ServerState[] {ServerState.DRAINING, ServerState.GONE}) {
            FakeNode node = new FakeNode().with(2);
            node.list(ListKind.CHANGES, List.of(in("s0", 0, 0, state)));
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        "s1",
                        node.serve(
                                FakeNode.NON_IDEMPOTENT, i % 3 == 0 ? AttemptResult.ERROR : AttemptResult.OK, 1_000));
                node.advance(1_100_000);
            }
        }
    }

    @Test
    void serversThatComeAndGoLeaveNothingBehind() {
        FakeNode node = new FakeNode().with(1);
        for (int i = 0; i < 500; i++) {
            node.list(ListKind.CHANGES, List.of(FakeNode.server("t" + i)));
            node.serve(FakeNode.NON_IDEMPOTENT, AttemptResult.ERROR, 1_000);
            node.list(ListKind.CHANGES, List.of(in("t" + i, 0, 0, ServerState.GONE)));
        }
        assertEquals(1, ((ServiceQBalancer) node.balancer).knownServers());
    }

    @Test
    void aServerThatAFullListLeavesOutHasGone() {
        FakeNode node = new FakeNode().with(2);
        node.list(ListKind.FULL, List.of(FakeNode.server("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", node.serve(FakeNode.IDEMPOTENT, AttemptResult.OK, 1_000));
        }
    }

    @Test
    void aListOnRequestIsAskedForAtOnceAndAgainAfterFailuresWithGrowingJitteredWaits() {
        BalancerSettings set = FakeNode.settings();
        set.pollsEndpointList = true;
        FakeNode node = new FakeNode(set, 1).with(1);
        assertEquals(1, node.subscriptions);
        for (int failures = 1; failures <= 6; failures++) {
            node.balancer.onListFailed(node.now);
            assertEquals(failures, node.subscriptions);
            node.advance(set.pollIntervalUs / 2);
            assertEquals(failures + 1, node.subscriptions);
        }
        node.list(ListKind.CHANGES, List.of());
        node.advance(10 * set.pollIntervalUs);
        assertEquals(7, node.subscriptions);
    }

    @Test
    void aCallThatIsNeverAnsweredIsMadeAgainInsideTheTimeAllowed() {
        BalancerSettings set = FakeNode.settings();
        set.pollsEndpointList = true;
        FakeNode node = new FakeNode(set, 1).with(1);
        node.advance(set.pollIntervalUs - 1);
        assertTrue(node.subscriptions >= 2);
    }

    @Test
    void settingsAndRequestsOutOfRangeAreRejectedByName() {
        BalancerSettings none = new BalancerSettings();
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(none, 1));
        BalancerSettings negative = FakeNode.settings();
        negative.warmUpUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(negative, 1));
        BalancerSettings zone = FakeNode.settings();
        zone.localZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new FakeNode(zone, 1));
        FakeNode node = new FakeNode().with(1);
        assertThrows(IllegalArgumentException.class, () -> node.ask(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new BalancerRequest(5, 0, 7, 1_000, 0, false, null)));
        node.balancer.onRequest(node.now, new BalancerRequest(6, 0, -1, 1_000_000, 0, false, null));
        assertThrows(
                IllegalArgumentException.class,
                () -> node.balancer.onRequest(node.now, new BalancerRequest(6, 0, -1, 1_000_000, 0, false, null)));
    }
}
