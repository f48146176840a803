package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Repeats that clients make by themselves: their aim, 200 ms here, runs from the first try. */
class RepeatTest {
    private static final long DEADLINE = 1_000_000;

    /** A node with one server that is full. */
    private static FakeNode full() {
        FakeNode node = new FakeNode().with(1);
        while (node.last(node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE, false)) != null) {
            node.advance(1);
        }
        return node;
    }

    @Test
    void aRepeatWhoseAimHasPassedDoesNotWaitAndOneThatIsInTimeDoes() {
        FakeNode node = full();
        long late = node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE - 300_000, true);
        assertEquals(List.of(late), node.refused, "at once");
        long inTime = node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE - 50_000, true);
        long atOnce = node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE, true);
        node.advance(100_000);
        assertEquals(List.of(late), node.refused);
        node.advance(60_000);
        assertEquals(List.of(late, inTime), node.refused, "its aim came first");
        node.advance(100_000);
        assertTrue(node.refused.contains(atOnce));
    }

    @Test
    void aRepeatWithWhatEveryTryHasTellsNothingAndWaits() {
        FakeNode node = full();
        // Clients give up a try of this class after six tenths of their time.
        node.askFor(null, FakeNode.IDEMPOTENT, 600_000, false);
        long middle = node.askFor(null, FakeNode.IDEMPOTENT, 600_500, true);
        long last = node.askFor(null, FakeNode.IDEMPOTENT, 750_000, true);
        assertEquals(List.of(last), node.refused, "the rest of the time: 250 ms are over");
        node.advance(100_000);
        assertTrue(!node.refused.contains(middle));
        // One client in haste does not hide what a try has, nor make repeats look late.
        node.askFor(null, FakeNode.IDEMPOTENT, 100_000, false);
        long next = node.askFor(null, FakeNode.IDEMPOTENT, 600_000, true);
        assertTrue(!node.refused.contains(next));
    }

    @Test
    void aLateRepeatIsServedWhereThereIsRoomAndNobodyWaits() {
        FakeNode node = new FakeNode().with(2);
        node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE, false);
        long late = node.askFor(null, FakeNode.NON_IDEMPOTENT, DEADLINE - 500_000, true);
        assertNotNull(node.last(late));
        node.answer(late, AttemptResult.OK, 1_000);
        assertEquals(List.of(), node.refused);
    }

    @Test
    void aLateRepeatIsNotSentPastThoseWhoWaitForAnotherKey() {
        BalancerSettings set = FakeNode.settings();
        set.keyAffinity = true;
        FakeNode node = new FakeNode(set, 7).with(20);
        while (node.last(node.askFor("hot", FakeNode.NON_IDEMPOTENT)) != null) {
            node.advance(1);
        }
        long late = node.askFor("cool", FakeNode.NON_IDEMPOTENT, DEADLINE - 300_000, true);
        assertNull(node.last(late));
        assertEquals(List.of(late), node.refused);
        assertNotNull(node.last(node.askFor("cool", FakeNode.NON_IDEMPOTENT)), "one in time is");
    }
}
