package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TrialRequestsTest {
    private final RuleFixture fixture = new RuleFixture(3);
    private final TrialRequests trials = fixture.rules.trialRequests;
    private final ServerRecord server = fixture.state.servers[0];
    private final PendingRequest request = fixture.request(FakeNode.IDEMPOTENT);
    private long now = RuleFixture.START_US;

    @BeforeEach
    void eject() {
        for (int i = 0; i < 4; i++) {
            fixture.rules.outlierDetector.onFailure(server, server.classHealth.get(0), true, now);
        }
        now = server.health.trialAtUs;
    }

    @Test
    void dueServerGetsOneRequestAtATime() {
        assertNull(trials.pickDue(request, now - 1));
        assertSame(server, trials.pickDue(request, now));
        server.inFlight = 1;
        assertNull(trials.pickDue(request, now));
    }

    @Test
    void failedTrialRequestsAreBoundedByABudget() {
        for (int i = 0; i < 4; i++) {
            assertSame(server, trials.pickDue(request, now));
        }
        assertNull(trials.pickDue(request, now));
        for (int i = 0; i < 21; i++) {
            trials.onFirstAttemptSent();
        }
        assertSame(server, trials.pickDue(request, now));
        assertNull(trials.pickDue(request, now));
        trials.onSuccess(server, server.classHealth.get(0));
        assertSame(server, trials.pickDue(request, now));
    }

    @Test
    void nonIdempotentRequestsAreNoTrialsOfAServerEjectedForAllClasses() {
        assertNull(trials.pickDue(fixture.request(FakeNode.NON_IDEMPOTENT), now + 60_000_000));
    }

    @Test
    void fallbackTakesIdempotentRequestsWithAFurtherAttempt() {
        assertNull(trials.pickFallback(request, now));
        server.lastOutcomeWasResponse = true;
        assertSame(server, trials.pickFallback(request, now));
        assertNull(trials.pickFallback(fixture.request(FakeNode.KEYED_ALL), now));
        for (int attempt = 0; attempt < 3; attempt++) {
            request.addAttempt(fixture.state.servers[1], now);
        }
        assertNull(trials.pickFallback(request, now));
    }

    @Test
    void fallbackServerThatOnlyFailsIsPausedAfterItsLastResponse() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 16_000);
        server.lastOutcomeWasResponse = true;
        server.health.history = 0xFFF;
        server.health.lastResponseAtUs = now;
        assertEquals(12, server.health.consecutiveFailures());
        assertNull(trials.pickFallback(request, now + 3_999));
        assertSame(server, trials.pickFallback(request, now + 4_000));
    }
}
