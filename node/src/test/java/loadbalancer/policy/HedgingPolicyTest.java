package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HedgingPolicyTest {
    private static final long SENT_US = RuleFixture.START_US;
    /** Four times the mean latency plus two ticks. */
    private static final long UNRESPONSIVE_AT_US = SENT_US + 4 * 10_000 + 2 * 1_000;

    private final RuleFixture fixture = new RuleFixture(2);
    private final HedgingPolicy hedging = fixture.rules.hedgingPolicy;

    private PendingRequest sent() {
        PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, fixture.state.servers[0], SENT_US);
        hedging.onSent(request, 0);
        return request;
    }

    @Test
    void attemptIsUnresponsiveAfterFourMeanLatenciesAndReportedOnce() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 10_000);
        PendingRequest request = sent();
        assertEquals(UNRESPONSIVE_AT_US, hedging.nextCheckAtUs(0));
        assertNull(hedging.pollUnresponsive(UNRESPONSIVE_AT_US - 1));
        assertEquals(new AttemptId(request, 0), hedging.pollUnresponsive(UNRESPONSIVE_AT_US));
        assertNull(hedging.pollUnresponsive(UNRESPONSIVE_AT_US));
    }

    @Test
    void endedOrBoundAttemptsAreNotUnresponsive() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 10_000);
        sent().recordResult(0, AttemptResult.OK);
        sent().boundAttempt = 0;
        sent().end();
        assertNull(hedging.pollUnresponsive(UNRESPONSIVE_AT_US));
    }

    /** Guards against ejecting a server whose response of unknown length is buffered while it arrives slowly. */
    @Test
    void attemptWhoseResponseArrivesIsNotUnresponsive() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 10_000);
        sent().responding[0] = true;
        assertNull(hedging.pollUnresponsive(UNRESPONSIVE_AT_US));
    }

    @Test
    void nothingIsUnresponsiveWhileTheLatencyIsUnknown() {
        sent();
        assertNull(hedging.pollUnresponsive(SENT_US + 3_600_000_000L));
    }

    @Test
    void hedgedRequestsAreAFifthOfFirstAttempts() {
        for (int i = 0; i < 20; i++) {
            hedging.onHedged();
        }
        PendingRequest request = sent();
        assertFalse(hedging.mayHedge(request, SENT_US));
        for (int i = 0; i < 5; i++) {
            sent();
        }
        assertTrue(hedging.mayHedge(request, SENT_US));
        fixture.settings.hedging = false;
        assertFalse(hedging.mayHedge(request, SENT_US));
    }
}
