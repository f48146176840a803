package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Settings that change while requests are open. */
class ChangedSettingsTest {
    private static final int NEW_CLASS = 5;

    /** The default test settings with one more class at the end. */
    private static BalancerSettings withNewClass(Idempotency idempotency) {
        BalancerSettings settings = FakeNode.settings();
        settings.classes.add(FakeNode.requestClass("safe", idempotency, DeduplicationScope.ALL));
        return settings;
    }

    @Test
    void openRequestsKeepTheRulesOfTheirClassAndNewOnesHaveTheNewRules() {
        FakeNode node = new FakeNode().withServers(3);
        long before = node.request(FakeNode.IDEMPOTENT);
        node.balancer.onSettings(node.now, withNewClass(Idempotency.NON_IDEMPOTENT));
        long after = node.request(NEW_CLASS);
        node.endAttempt(before, AttemptResult.RESET, 1_000);
        node.endAttempt(after, AttemptResult.RESET, 1_000);
        assertEquals(2, node.attempts(before), "idempotent when it arrived");
        assertEquals(1, node.attempts(after), "non-idempotent under the new settings");
        assertEquals(List.of(after), node.failed);
    }

    @Test
    void remainingTimesUnderOldRulesAreNotUsedForNewOnes() {
        FakeNode node = new FakeNode().withServers(1);
        while (node.lastAttempt(node.request(FakeNode.NON_IDEMPOTENT)) != null) {
            node.advance(1);
        }
        node.requestWithKey(null, FakeNode.IDEMPOTENT, 600_000, false);
        node.balancer.onSettings(node.now, withNewClass(Idempotency.NON_IDEMPOTENT));
        node.requestWithKey(null, NEW_CLASS, 300_000, false);
        long retry = node.requestWithKey(null, NEW_CLASS, 300_000, true);
        assertTrue(!node.rejected.contains(retry), "has the remaining time of a first attempt, so it is not late");
    }

    @Test
    void openRequestsKeepTheirAttempts() {
        FakeNode node = new FakeNode().withServers(6);
        long before = node.request(FakeNode.IDEMPOTENT);
        BalancerSettings fewer = FakeNode.settings();
        fewer.maxAttempts = 2;
        node.balancer.onSettings(node.now, fewer);
        long after = node.request(FakeNode.IDEMPOTENT);
        for (long id : new long[] {before, after}) {
            for (int i = 0; i < 4 && !node.rejected.contains(id); i++) {
                node.endAttempt(id, AttemptResult.CONNECT_FAILED, 1_000);
            }
        }
        assertEquals(4, node.attempts(before));
        assertEquals(2, node.attempts(after));
        assertEquals(List.of(before, after), node.rejected);
    }

    @Test
    void serverHealthSurvivesChangedSettings() {
        FakeNode node = new FakeNode().withServers(3);
        node.failUntilEjected("s1");
        node.balancer.onSettings(node.now, withNewClass(Idempotency.IDEMPOTENT));
        assertEquals(1, node.balancer.excludedServers(), "still ejected");
        long before = node.sentTo("s1");
        for (int i = 0; i < 50; i++) {
            node.completeRequest(NEW_CLASS, AttemptResult.OK, 1_000);
        }
        assertTrue(node.sentTo("s1") - before <= 2, "at most two trial requests");
    }

    @Test
    void invalidSettingsChangeNothing() {
        FakeNode node = new FakeNode().withServers(3);
        BalancerSettings invalid = FakeNode.settings();
        invalid.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> node.balancer.onSettings(node.now, invalid));
        long id = node.request(FakeNode.IDEMPOTENT);
        node.endAttempt(id, AttemptResult.RESET, 1_000);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void boundRequestIsNotRetriedAndItsOtherAttemptsAreCancelled() {
        FakeNode node = new FakeNode().withServers(3);
        for (int i = 0; i < 100; i++) {
            node.completeRequest(FakeNode.IDEMPOTENT, AttemptResult.OK, 1_000);
        }
        long id = node.request(FakeNode.IDEMPOTENT);
        node.advance(100_000);
        assertEquals(2, node.attempts(id), "hedged");
        node.balancer.onFirstByte(node.now, id, 1);
        assertEquals(List.of(id + "/0"), node.cancelled);
        node.advance(2_000_000);
        node.endAttempt(id, AttemptResult.RESET, 0);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void boundAttemptsDoNotCountAgainstLimits() {
        FakeNode node = new FakeNode().withServers(2);
        for (int i = 0; i < 200; i++) {
            long id = node.request(FakeNode.NON_IDEMPOTENT);
            assertEquals(1, node.attempts(id), "request " + i + " was not sent");
            node.advance(1_000);
            node.balancer.onFirstByte(node.now, id, 0);
        }
        assertEquals(List.of(), node.closedIdle);
        for (long id = 1; id <= 200; id++) {
            node.endAttempt(id, AttemptResult.OK, 1_000);
        }
        assertEquals(1, node.attempts(node.request(FakeNode.NON_IDEMPOTENT)));
    }
}
