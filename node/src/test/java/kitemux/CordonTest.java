package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Result;
import kitemux.Balancer.ServerEntry;
import kitemux.Balancer.ServerState;
import org.junit.jupiter.api.Test;

/** Servers that operators keep out by hand. */
class CordonTest {

    private static void cordon(Node node, String... servers) {
        node.balancer.onCordoned(node.now, Set.of(servers));
    }

    @Test
    void aCordonedServerGetsNeitherFirstTriesNorRepeatsWhateverTheListSays() {
        Node node = new Node().with(3);
        cordon(node, "s1");
        assertEquals(1, node.balancer.skipped());
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.GONE, 1, 0)));
        assertEquals(0, node.balancer.skipped(), "not listed");
        node.list(ListKind.FULL, List.of(Node.server("s0"), Node.server("s1"), Node.server("s2")));
        for (int i = 0; i < 200; i++) {
            long id = node.ask(Node.SAFE);
            node.answer(id, i % 3 == 0 ? Result.FULL : Result.OK, 1_000);
            if (i % 3 == 0) {
                node.answer(id, Result.OK, 1_000);
            }
        }
        assertEquals(0, node.sentTo("s1"));
        assertEquals(1, node.balancer.skipped());
    }

    @Test
    void anEjectedServerThatIsCordonedGetsNoTrial() {
        Node node = new Node().with(3);
        node.ejects("s1");
        cordon(node, "s1");
        assertEquals(1, node.balancer.skipped(), "counted once");
        long before = node.sentTo("s1");
        for (int i = 0; i < 500; i++) {
            node.serve(Node.SAFE, Result.OK, 1_000);
            node.advance(20_000);
        }
        assertEquals(before, node.sentTo("s1"));
    }

    @Test
    void aServerComesBackColdWithItsErrorsForgotten() {
        Node node = new Node().with(4);
        for (int i = 0; i < 400; i++) {
            long id = node.ask(Node.SAFE);
            boolean bad = node.last(id).server().equals("s1");
            node.answer(id, bad ? Result.ERROR : Result.OK, 10_000);
            if (bad) {
                node.answer(id, Result.OK, 0);
            }
        }
        assertEquals(1, node.balancer.skipped(), "ejected");
        cordon(node, "s1", "s2");
        node.advance(1_000_000);
        cordon(node, "s2");
        assertEquals(1, node.balancer.skipped());
        long before = node.sentTo("s1");
        for (int i = 0; i < 500; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        long since = node.sentTo("s1") - before;
        // In five seconds 500 answers from three servers: an even part is 167, of which a cold one can do a
        // fifth at first; half of three times that is a node's budget.
        assertTrue(since >= 1 && since <= 100, "sent since: " + since);
    }

    @Test
    void aServerThatTheListSaysHasStartedMeanwhileIsAsWarmAsItSays() {
        Node node = new Node().with(4);
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        cordon(node, "s1");
        node.list(ListKind.CHANGES, List.of(new ServerEntry("s1", 0, 0, ServerState.READY, 1, node.now)));
        node.advance(node.settings.coldUs);
        cordon(node);
        long before = node.sentTo("s1");
        for (int i = 0; i < 400; i++) {
            node.serve(Node.SAFE, Result.OK, 10_000);
        }
        // Warm by now: it gets about a quarter.
        assertTrue(node.sentTo("s1") - before > 70, "sent since: " + (node.sentTo("s1") - before));
    }

    @Test
    void whatWaitsForWantOfAServerIsSentOnceOneIsBack() {
        Node node = new Node().with(1);
        cordon(node, "s0");
        long id = node.ask(Node.UNSAFE);
        assertEquals(0, node.sent.size());
        node.advance(20_000);
        cordon(node);
        node.advance(500_000);
        assertEquals(1, node.attempts(id));
    }
}
