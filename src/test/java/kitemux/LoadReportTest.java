package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

import kitemux.Balancer.Outcome;
import kitemux.Balancer.ReportField;
import kitemux.Balancer.Result;
import kitemux.Balancer.Settings;

/** Exception, load reports: a server that holds well more than the others is passed over for a while. */
class LoadReportTest {
    private static final int SERVERS = 20;
    private static final long LATENCY_US = 20_000;

    private static Node node() {
        Settings set = Node.settings();
        set.nodes = 14;
        set.warmKeys = true;
        set.reportFields.add(ReportField.QUEUED);
        set.reportFields.add(ReportField.IN_FLIGHT);
        return new Node(set, 5).with(SERVERS);
    }

    /** One request served; its server says that it holds so many. */
    private static String serve(Node node, String key, double held) {
        long id = node.askFor(key, Node.UNSAFE);
        node.advance(LATENCY_US);
        node.balancer.onOutcome(node.now, new Outcome(id, 0, Result.OK, LATENCY_US, true,
                new double[] {0, held}));
        return node.last(id).server();
    }

    private static Node amongServersThatHold(double held) {
        Node node = node();
        for (int k = 0; k < 400; k++) {
            serve(node, "k" + k, held);
        }
        return node;
    }

    @Test
    void aKeyGoesToItsNextDrawWhileItsServerIsLadenBeyondTheOthers() {
        Node node = amongServersThatHold(2);
        String home = serve(node, "key", 9);
        assertNotEquals(home, serve(node, "key", 2));
    }

    @Test
    void itStaysWhereAllServersAreLadenAlike() {
        Node node = amongServersThatHold(9);
        String home = serve(node, "key", 9);
        assertEquals(home, serve(node, "key", 9));
    }

    @Test
    void itComesBackOnceTheReportHasWornOff() {
        Node node = amongServersThatHold(2);
        String home = serve(node, "key", 9);
        node.advance(10 * LATENCY_US);
        assertEquals(home, serve(node, "key", 2));
    }

    @Test
    void aReportWithoutTheFigureSaysNothing() {
        Node node = amongServersThatHold(2);
        String home = serve(node, "key", Double.NaN);
        assertEquals(home, serve(node, "key", 2));
    }
}
