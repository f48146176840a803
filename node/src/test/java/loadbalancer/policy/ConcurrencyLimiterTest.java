package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimiterTest {
    private final RuleFixture fixture = new RuleFixture(3);
    private final ConcurrencyLimiter limiter = fixture.rules.limiter;
    private final ServerRecord server = fixture.state.servers[0];
    private long now = RuleFixture.START_US;

    private void end(PendingRequest request, long latencyUs, LoadSignal signal) {
        now = request.sentAtUs[0] + latencyUs;
        fixture.rules.serversInUse.release(server);
        limiter.onOutcome(request, 0, latencyUs, signal, now);
    }

    @Test
    void serverIsAtItsLimitWithFourAttemptsInFlight() {
        for (int i = 0; i < 4; i++) {
            assertFalse(limiter.isAtLimit(fixture.request(0), server, now));
            fixture.sent(FakeNode.IDEMPOTENT, server, now);
        }
        assertTrue(limiter.isAtLimit(fixture.request(0), server, now));
        assertFalse(limiter.isAtLimit(fixture.request(0), fixture.state.servers[1], now));
    }

    @Test
    void limitGrowsOnlyIfItWasReachedWhileTheAttemptWasInFlight() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 10_000);
        end(fixture.sent(FakeNode.IDEMPOTENT, server, now), 10_000, LoadSignal.ANSWERED);
        assertEquals(4, server.limit);
        PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        server.limitReachedAtUs = now + 1;
        end(request, 10_000, LoadSignal.ANSWERED);
        assertEquals(4 + 0.15 * 0.5, server.limit, 1e-9);
        assertEquals(8 + server.limit, fixture.state.totalLimit, 1e-9);
    }

    @Test
    void slowResponsesCutTheLimitOnceForAllAttemptsSentBefore() {
        PendingRequest first = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        PendingRequest second = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        end(first, 80_000, LoadSignal.ANSWERED);
        end(second, 90_000, LoadSignal.ANSWERED);
        assertEquals(4 * 0.9, server.limit, 1e-9);
        end(fixture.sent(FakeNode.IDEMPOTENT, server, now), 80_000, LoadSignal.ABANDONED);
        assertEquals(4 * 0.9 * 0.9, server.limit, 1e-9);
    }

    @Test
    void rejectedAndTimedOutAttemptsCutTheLimitMore() {
        end(fixture.sent(FakeNode.IDEMPOTENT, server, now), 1_000, LoadSignal.REJECTED);
        assertEquals(4 * 0.7, server.limit, 1e-9);
        end(fixture.sent(FakeNode.IDEMPOTENT, server, now), 900_000, LoadSignal.TIMED_OUT);
        assertEquals(4 * 0.7 * 0.7, server.limit, 1e-9);
    }

    @Test
    void limitBelowOnePausesTheServerAfterEachAttempt() {
        fixture.rules.serversInUse.setNodesPerServer(10);
        server.limit = 0.5;
        PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        end(request, 20_000, LoadSignal.NONE);
        assertTrue(limiter.isAtLimit(fixture.request(0), server, now + 19_999));
        assertFalse(limiter.isAtLimit(fixture.request(0), server, now + 20_000));
    }
}
