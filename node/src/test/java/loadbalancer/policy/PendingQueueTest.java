package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PendingQueueTest {
    private static final long NOW_US = RuleFixture.START_US;

    private final RuleFixture fixture = new RuleFixture(1);
    private final List<PendingRequest> tried = new ArrayList<>();
    private final List<PendingRequest> unserved = new ArrayList<>();
    private boolean full;
    private final PendingQueue queue =
            new PendingQueue(fixture.state, fixture.rules.latencies, this::trySend, this::respondUnserved);

    private boolean trySend(PendingRequest request, long nowUs) {
        tried.add(request);
        if (!full) {
            request.addAttempt(fixture.state.servers[0], nowUs);
        }
        return !full;
    }

    private void respondUnserved(PendingRequest request) {
        unserved.add(request);
        request.end();
    }

    private PendingRequest enqueue(int classIndex, double value) {
        PendingRequest request = fixture.request(classIndex);
        request.value = value;
        queue.applySettings(fixture.settings);
        assertNull(queue.add(request));
        return request;
    }

    @Test
    void requestsAreTriedByValueAndThenByArrival() {
        PendingRequest low = enqueue(FakeNode.IDEMPOTENT, 1);
        PendingRequest first = enqueue(FakeNode.IDEMPOTENT, 2);
        PendingRequest second = enqueue(FakeNode.IDEMPOTENT, 2);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_EVENT, NOW_US);
        assertEquals(List.of(first, second, low), tried);
        assertTrue(queue.isEmpty());
    }

    @Test
    void fullQueueReturnsTheRequestOfLowestValue() {
        fixture.settings.maxOpen = 2;
        PendingRequest low = enqueue(FakeNode.IDEMPOTENT, 1);
        enqueue(FakeNode.IDEMPOTENT, 3);
        PendingRequest added = fixture.request(FakeNode.IDEMPOTENT);
        added.value = 2;
        assertSame(low, queue.add(added));
    }

    @Test
    void requestGetsFinalResponseOneSweepAndATickBeforeItsDeadline() {
        full = true;
        fixture.settings.classes.replaceAll(each -> new RequestClass(
                each.name(), 900_000, 0, 1_000_000, 1, 0.5, each.idempotency(), each.deduplicationScope(), 0, false));
        PendingRequest request = enqueue(FakeNode.IDEMPOTENT, 1);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_SWEEP, request.deadlineAtUs - 6_001);
        assertEquals(List.of(), unserved);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_SWEEP, request.deadlineAtUs - 6_000);
        assertEquals(List.of(request), unserved);
    }

    @Test
    void lateRequestWithoutLateValueGetsFinalResponse() {
        fixture.learnLatency(FakeNode.IDEMPOTENT, 10_000);
        full = true;
        PendingRequest request = enqueue(FakeNode.IDEMPOTENT, 1);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_SWEEP, request.objectiveAtUs - 20_000);
        assertEquals(List.of(), unserved);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_SWEEP, request.objectiveAtUs - 19_999);
        assertEquals(List.of(request), unserved);
    }

    @Test
    void afterOneFailedTryFurtherRequestsOfItsKindAreNotTried() {
        full = true;
        PendingRequest nonIdempotent = enqueue(FakeNode.NON_IDEMPOTENT, 4);
        enqueue(FakeNode.NON_IDEMPOTENT, 3);
        PendingRequest idempotent = enqueue(FakeNode.IDEMPOTENT, 2);
        enqueue(FakeNode.IDEMPOTENT, 1);
        queue.serve(PendingQueue.MAX_KEYED_TRIES_PER_EVENT, NOW_US);
        assertEquals(List.of(nonIdempotent, idempotent), tried);
    }
}
