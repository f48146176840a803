package loadbalancer.membership.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class BroadcastQueueTest {
    private static final int NO_LIMIT = 1_000;

    private final BroadcastQueue queue = new BroadcastQueue();

    private static GossipUpdate update(String name, long refutations) {
        return new GossipUpdate(
                new Member(name, "127.0.0.1:1", "a", "node", new Incarnation(1, refutations), MemberState.ALIVE), name);
    }

    private List<String> take(int budgetBytes, int maxTransmissions) {
        return queue.take(budgetBytes, maxTransmissions).stream()
                .map(update ->
                        update.member().name() + update.member().incarnation().refutations())
                .toList();
    }

    @Test
    void leastOftenSentUpdateGoesFirstThenNewest() {
        queue.add(update("a", 0));
        queue.add(update("b", 0));
        int oneUpdate = update("a", 0).maxEncodedBytes();
        assertEquals(List.of("b0"), take(oneUpdate, 3));
        assertEquals(List.of("a0"), take(oneUpdate, 3));
        queue.add(update("c", 0));
        assertEquals(List.of("c0", "b0", "a0"), take(NO_LIMIT, 3));
    }

    @Test
    void newerUpdateReplacesOlderUpdateOfSameName() {
        queue.add(update("a", 0));
        queue.add(update("a", 1));
        assertEquals(List.of("a1"), take(NO_LIMIT, 3));
    }

    @Test
    void updateIsDroppedAfterItsLastTransmission() {
        queue.add(update("a", 0));
        assertEquals(List.of("a0"), take(NO_LIMIT, 2));
        assertEquals(List.of("a0"), take(NO_LIMIT, 2));
        assertTrue(queue.isEmpty());
        assertEquals(List.of(), take(NO_LIMIT, 2));
    }

    @Test
    void updateOverBudgetStaysQueued() {
        queue.add(update("a", 0));
        assertEquals(List.of(), take(update("a", 0).maxEncodedBytes() - 1, 2));
        assertEquals(List.of("a0"), take(NO_LIMIT, 2));
    }
}
