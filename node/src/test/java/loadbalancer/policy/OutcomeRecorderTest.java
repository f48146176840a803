package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the rules learn from the outcome of an attempt. */
class OutcomeRecorderTest {
    private final RuleFixture fixture = new RuleFixture(4);
    private final OutcomeRecorder recorder = new OutcomeRecorder(fixture.rules);
    private final ServerRecord server = fixture.state.servers[0];
    private long now = RuleFixture.START_US;

    private void end(PendingRequest request, AttemptResult result) {
        request.recordResult(0, result);
        fixture.rules.serversInUse.release(server);
        recorder.onOutcome(
                request, new AttemptOutcome(request.id, 0, result, now - request.sentAtUs[0], true, null), now);
    }

    private void endAtOnce(AttemptResult result, int times) {
        for (int i = 0; i < times; i++) {
            PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, server, now);
            now += 1_000;
            end(request, result);
        }
    }

    @Test
    void cancelledAndUnsentAttemptsAreNoErrors() {
        endAtOnce(AttemptResult.CANCELLED, 10);
        endAtOnce(AttemptResult.MOOT, 10);
        assertEquals(0, server.errors);
    }

    @Test
    void fullServerHasErrorsButIsNotEjected() {
        endAtOnce(AttemptResult.FULL, 10);
        assertEquals(10, server.errors);
        assertFalse(server.health.ejected);
    }

    @Test
    void timeoutOfAServerThatRespondedMeanwhileIsNoFault() {
        PendingRequest[] slow = new PendingRequest[6];
        for (int i = 0; i < slow.length; i++) {
            slow[i] = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        }
        endAtOnce(AttemptResult.OK, 1);
        for (PendingRequest request : slow) {
            end(request, AttemptResult.TIMEOUT);
        }
        assertFalse(server.health.ejected);
        now++;
        endAtOnce(AttemptResult.TIMEOUT, 4);
        assertTrue(server.health.ejected);
    }

    @Test
    void unresponsiveAttemptCountsAsOneFailure() {
        PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, server, now);
        recorder.onUnresponsive(request, 0, now + 50_000);
        assertEquals(1, server.errors);
        end(request, AttemptResult.TIMEOUT);
        assertEquals(1, server.errors);
    }

    @Test
    void restoredServerStartsWithTheInitialLimitAndNoErrors() {
        endAtOnce(AttemptResult.ERROR, 4);
        server.limit = 1.5;
        endAtOnce(AttemptResult.OK, 3);
        assertFalse(server.health.ejected);
        assertEquals(0, server.errors);
        assertEquals(4, server.limit);
    }
}
