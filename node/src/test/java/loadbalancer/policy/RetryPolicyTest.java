package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
    private static final long SENT_US = RuleFixture.START_US;
    private static final long WINDOW_US = 400_000;

    private final RuleFixture fixture = new RuleFixture(3);

    private PendingRequest afterAttempt(int classIndex, AttemptResult result) {
        PendingRequest request = fixture.sent(classIndex, fixture.state.servers[0], SENT_US);
        request.recordResult(0, result);
        return request;
    }

    @ParameterizedTest
    @CsvSource({
        // class, result, whether it may be retried, whether the client may safely retry
        "0, ERROR, true, true",
        "1, ERROR, true, true",
        "3, ERROR, true, false",
        "3, FULL, true, true",
        "4, ERROR, false, false",
        "4, RESET, false, false",
        "4, FULL, true, true",
        "4, CONNECT_FAILED, true, true",
    })
    void retryIsAllowedByClassAndByWhetherTheRequestMayHaveRun(
            int classIndex, AttemptResult result, boolean mayRetry, boolean clientRetrySafe) {
        PendingRequest request = afterAttempt(classIndex, result);
        assertEquals(mayRetry, RetryPolicy.mayRetry(request, SENT_US + 1));
        assertEquals(clientRetrySafe, RetryPolicy.isClientRetrySafe(request));
    }

    @Test
    void retryWithAKeyMustBeginWithinTheDeduplicationWindow() {
        PendingRequest request = afterAttempt(FakeNode.KEYED_ALL, AttemptResult.ERROR);
        assertEquals(SENT_US + WINDOW_US, RetryPolicy.startByUs(request));
        assertTrue(RetryPolicy.mayRetry(request, SENT_US + WINDOW_US));
        assertFalse(RetryPolicy.mayRetry(request, SENT_US + WINDOW_US + 1));
        assertEquals(Long.MAX_VALUE, RetryPolicy.startByUs(afterAttempt(FakeNode.KEYED_ALL, AttemptResult.FULL)));
    }

    @Test
    void retryWithAKeyStaysWhereDuplicatesAreRecognized() {
        ServerRecord other = fixture.state.servers[1];
        other.cell = 1;
        assertTrue(RetryPolicy.mayRunAt(afterAttempt(FakeNode.KEYED_ZONE, AttemptResult.RESET), other));
        assertFalse(RetryPolicy.mayRunAt(afterAttempt(FakeNode.KEYED_CELL, AttemptResult.RESET), other));
        assertTrue(RetryPolicy.mayRunAt(afterAttempt(FakeNode.KEYED_CELL, AttemptResult.FULL), other));
        other.zone = 1;
        assertFalse(RetryPolicy.mayRunAt(afterAttempt(FakeNode.KEYED_ZONE, AttemptResult.RESET), other));
        assertTrue(RetryPolicy.mayRunAt(afterAttempt(FakeNode.KEYED_ALL, AttemptResult.RESET), other));
    }

    @Test
    void nothingIsRetriedAfterTheDeadlineTheLastAttemptOrTheFirstByte() {
        PendingRequest request = afterAttempt(FakeNode.IDEMPOTENT, AttemptResult.ERROR);
        assertFalse(RetryPolicy.mayRetry(request, request.deadlineAtUs));
        for (int attempt = 1; attempt < fixture.settings.maxAttempts; attempt++) {
            assertTrue(RetryPolicy.mayRetry(request, SENT_US + 1));
            request.addAttempt(fixture.state.servers[1], SENT_US);
        }
        assertFalse(RetryPolicy.mayRetry(request, SENT_US + 1));
        PendingRequest bound = afterAttempt(FakeNode.IDEMPOTENT, AttemptResult.ERROR);
        bound.boundAttempt = 0;
        assertFalse(RetryPolicy.mayRetry(bound, SENT_US + 1));
    }
}
