package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import kitemux.Balancer.Group;
import kitemux.Balancer.Repeat;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;
import org.junit.jupiter.api.Test;

/** Settings that change while requests are open. */
class RetuningTest {
    private static final int NEW = 5;

    /** The usual settings, with one class more at their end. */
    private static Settings withNew(Repeat repeat) {
        Settings set = Node.settings();
        set.classes.add(Node.requestClass("safe", repeat, Group.ALL));
        return set;
    }

    @Test
    void openRequestsKeepTheRulesOfTheirClassAndNewOnesHaveTheNewRules() {
        Node node = new Node().with(3);
        long before = node.ask(Node.SAFE);
        node.balancer.onSettings(node.now, withNew(Repeat.UNSAFE));
        long after = node.ask(NEW);
        node.answer(before, Result.RESET, 1_000);
        node.answer(after, Result.RESET, 1_000);
        assertEquals(2, node.attempts(before), "safe when it was asked");
        assertEquals(1, node.attempts(after), "unsafe by now");
        assertEquals(List.of(after), node.failed);
    }

    @Test
    void howLongClientsWaitedByTheOldRulesSaysNothingOfTheNewOnes() {
        Node node = new Node().with(1);
        while (node.last(node.ask(Node.UNSAFE)) != null) {
            node.advance(1);
        }
        node.askFor(null, Node.SAFE, 600_000, false);
        node.balancer.onSettings(node.now, withNew(Repeat.UNSAFE));
        node.askFor(null, NEW, 300_000, false);
        long again = node.askFor(null, NEW, 300_000, true);
        assertTrue(!node.refused.contains(again), "it has what every try has: it is not late");
    }

    @Test
    void openRequestsKeepTheirAttempts() {
        Node node = new Node().with(6);
        long before = node.ask(Node.SAFE);
        Settings fewer = Node.settings();
        fewer.maxAttempts = 2;
        node.balancer.onSettings(node.now, fewer);
        long after = node.ask(Node.SAFE);
        for (long id : new long[] {before, after}) {
            for (int i = 0; i < 4 && !node.refused.contains(id); i++) {
                node.answer(id, Result.CONNECT_FAILED, 1_000);
            }
        }
        assertEquals(4, node.attempts(before));
        assertEquals(2, node.attempts(after));
        assertEquals(List.of(before, after), node.refused);
    }

    @Test
    void whatWasLearnedOfServersStays() {
        Node node = new Node().with(3);
        node.ejects("s1");
        node.balancer.onSettings(node.now, withNew(Repeat.SAFE));
        assertEquals(1, node.balancer.skipped(), "still ejected");
        long before = node.sentTo("s1");
        for (int i = 0; i < 50; i++) {
            node.serve(NEW, Result.OK, 1_000);
        }
        assertTrue(node.sentTo("s1") - before <= 2, "trials at most");
    }

    @Test
    void badSettingsChangeNothing() {
        Node node = new Node().with(3);
        Settings bad = Node.settings();
        bad.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> node.balancer.onSettings(node.now, bad));
        long id = node.ask(Node.SAFE);
        node.answer(id, Result.RESET, 1_000);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void aRequestWhoseAnswerHasBegunIsNotTriedAgainAndItsOtherAttemptsAreCalledOff() {
        Node node = new Node().with(3);
        for (int i = 0; i < 100; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
        }
        long id = node.ask(Node.SAFE);
        node.advance(100_000);
        assertEquals(2, node.attempts(id), "hedged");
        node.balancer.onFirstByte(node.now, id, 1);
        assertEquals(List.of(id + "/0"), node.cancelled);
        node.advance(2_000_000);
        node.answer(id, Result.RESET, 0);
        assertEquals(2, node.attempts(id));
    }

    @Test
    void whatFlowsAtThePaceOfItsTwoEndsTakesNoPlaceAtAServer() {
        Node node = new Node().with(2);
        for (int i = 0; i < 200; i++) {
            long id = node.ask(Node.UNSAFE);
            assertEquals(1, node.attempts(id), "request " + i + " waits");
            node.advance(1_000);
            node.balancer.onFirstByte(node.now, id, 0);
        }
        assertEquals(List.of(), node.closed);
        for (long id = 1; id <= 200; id++) {
            node.answer(id, Result.OK, 1_000);
        }
        assertEquals(1, node.attempts(node.ask(Node.UNSAFE)));
    }
}
