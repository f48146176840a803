package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries by clients: their latency objective of 200 ms counts from the client's first attempt. */
class ClientRetryTest {
    private static final long DEADLINE_US = 1_000_000;

    /** A node whose only server is at its limit. */
    private static FakeNode nodeAtItsLimit() {
        FakeNode node = new FakeNode().withServers(1);
        while (node.lastAttempt(node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US, false)) != null) {
            node.advance(1);
        }
        return node;
    }

    @Test
    void retryAfterItsObjectiveIsRejectedAndOneBeforeItWaits() {
        FakeNode node = nodeAtItsLimit();
        long late = node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US - 300_000, true);
        assertEquals(List.of(late), node.rejected, "rejected at once");
        long inTime = node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US - 50_000, true);
        long asNew = node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US, true);
        node.advance(100_000);
        assertEquals(List.of(late), node.rejected);
        node.advance(60_000);
        assertEquals(List.of(late, inTime), node.rejected, "rejected first because its objective is earlier");
        node.advance(100_000);
        assertTrue(node.rejected.contains(asNew));
    }

    @Test
    void retryWithAFirstAttemptsRemainingTimeWaits() {
        FakeNode node = nodeAtItsLimit();
        // Clients time out an attempt of this class after six tenths of its deadline.
        node.requestWithKey(null, FakeNode.IDEMPOTENT, 600_000, false);
        long likeFirst = node.requestWithKey(null, FakeNode.IDEMPOTENT, 600_500, true);
        long last = node.requestWithKey(null, FakeNode.IDEMPOTENT, 750_000, true);
        assertEquals(List.of(last), node.rejected, "250 ms of the deadline have passed, more than the objective");
        node.advance(100_000);
        assertTrue(!node.rejected.contains(likeFirst));
        // A single first attempt with little remaining time must not change the learned remaining time, or retries
        // would be considered late.
        node.requestWithKey(null, FakeNode.IDEMPOTENT, 100_000, false);
        long next = node.requestWithKey(null, FakeNode.IDEMPOTENT, 600_000, true);
        assertTrue(!node.rejected.contains(next));
    }

    @Test
    void lateRetryIsSentIfAServerHasCapacity() {
        FakeNode node = new FakeNode().withServers(2);
        node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US, false);
        long late = node.requestWithKey(null, FakeNode.NON_IDEMPOTENT, DEADLINE_US - 500_000, true);
        assertNotNull(node.lastAttempt(late));
        node.endAttempt(late, AttemptResult.OK, 1_000);
        assertEquals(List.of(), node.rejected);
    }

    @Test
    void lateRetryDoesNotSkipTheQueueOfAnotherKey() {
        BalancerSettings settings = FakeNode.settings();
        settings.keyAffinity = true;
        FakeNode node = new FakeNode(settings, 7).withServers(20);
        while (node.lastAttempt(node.requestWithKey("hot", FakeNode.NON_IDEMPOTENT)) != null) {
            node.advance(1);
        }
        long late = node.requestWithKey("cool", FakeNode.NON_IDEMPOTENT, DEADLINE_US - 300_000, true);
        assertNull(node.lastAttempt(late));
        assertEquals(List.of(late), node.rejected);
        assertNotNull(
                node.lastAttempt(node.requestWithKey("cool", FakeNode.NON_IDEMPOTENT)), "a request in time is sent");
    }
}
