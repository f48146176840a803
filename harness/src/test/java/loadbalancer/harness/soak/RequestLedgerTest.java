package loadbalancer.harness.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The rules of the soak: each catches what breaks it and nothing else. */
class RequestLedgerTest {
    private final RequestLedger ledger = new RequestLedger();

    private void assertOnlyViolation(String rule) {
        List<String> violations = ledger.violations();
        assertEquals(1, violations.size(), violations.toString());
        assertTrue(violations.get(0).contains(" s " + rule + ":"), violations.toString());
    }

    private static Wire.Message okResponse(String body) {
        return new Wire.Message("HTTP/1.1 200 OK", Map.of(), Wire.ascii(body), 0);
    }

    /** Guards against a soak that does not see an attempt that begins after its client has left. */
    @Test
    void attemptLongAfterItsClientHasLeftIsAViolation() {
        RequestLedger.ClientConnection gone = ledger.connect("gone");
        ledger.connect("there");
        ledger.leave(gone);
        long lateNanos = System.nanoTime() + RequestLedger.MAX_ATTEMPT_DELAY_NANOS;
        ledger.onAttempt("there.0", lateNanos, "s");
        ledger.onAttempt("gone.0", System.nanoTime(), "s");
        assertEquals(List.of(), ledger.violations());
        ledger.onAttempt("gone.1", lateNanos, "s");
        assertOnlyViolation("late attempt");
    }

    /** Guards against a soak that does not see that an order runs twice. */
    @Test
    void secondRunIsAViolationUnlessTheRequestIsIdempotent() {
        ledger.onRun("a.0", true);
        ledger.onRun("a.0", true);
        ledger.onRun("a.1", false);
        assertEquals(List.of(), ledger.violations());
        ledger.onRun("a.1", false);
        assertOnlyViolation("duplicate");
    }

    /** Guards against a soak that takes the response to another request for the right one. */
    @Test
    void responseToAnotherRequestIsAViolation() {
        ledger.onAnswer("a.0", RequestKind.SEARCH, System.nanoTime(), okResponse("a.0"));
        assertEquals(List.of(), ledger.violations());
        ledger.onAnswer("a.0", RequestKind.SEARCH, System.nanoTime(), okResponse("a.1"));
        assertOnlyViolation("foreign answer");
    }

    /** Guards against a soak that does not see a response that comes too late. */
    @Test
    void lateResponseIsAViolation() {
        long allowedNanos =
                TimeUnit.MILLISECONDS.toNanos(RequestKind.SEARCH.remainingMs()) + RequestLedger.MAX_LATENESS_NANOS;
        ledger.onAnswer("a.0", RequestKind.SEARCH, System.nanoTime() - allowedNanos / 2, okResponse("a.0"));
        assertEquals(List.of(), ledger.violations());
        ledger.onAnswer("a.0", RequestKind.SEARCH, System.nanoTime() - allowedNanos, okResponse("a.0"));
        assertOnlyViolation("late answer");
    }

    /** Guards against a seed that does not repeat its run. */
    @Test
    void seedGivesTheSamePlan() {
        assertEquals(SoakPlan.of(7, 20_000), SoakPlan.of(7, 20_000));
    }
}
