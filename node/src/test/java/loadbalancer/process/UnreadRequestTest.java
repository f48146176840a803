package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Requests that have arrived and are not read yet, as the event loop is stalled, when the node decides to close their
 * connections.
 */
class UnreadRequestTest {
    /** After that, a connection on which no request has come is closed, at the next housekeeping. */
    private static final long FIRST_REQUEST_MS = 2_300;

    /** When a drain closes the connections without a request. */
    private static final long GRACE_MS = 500;

    private static final long MARGIN_MS = 150;

    private static void sleepUntil(long startNanos, long ms) throws InterruptedException {
        long leftMs = ms - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        Thread.sleep(Math.max(0, leftMs));
    }

    private static void assertAnswered(Socket client) throws Exception {
        assertEquals(200, Http.readMessage(client.getInputStream()).status());
    }

    /** Guards against closing a connection at its timeout although its request has arrived during a stall. */
    @Test
    void requestThatArrivesBeforeItsConnectionTimesOutIsAnswered() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            long startNanos = System.nanoTime();
            Socket client = harness.connect();
            sleepUntil(startNanos, FIRST_REQUEST_MS - MARGIN_MS);
            CountDownLatch release = harness.blockEventHandling();
            NodeHarness.write(client, Http.pageRequest("/api/p", "first", "15000m"));
            // The housekeeping that closes the connection is due when the stall ends, and runs ahead of the next poll.
            sleepUntil(startNanos, FIRST_REQUEST_MS + Housekeeping.INTERVAL_MILLIS + MARGIN_MS);
            release.countDown();
            assertAnswered(client);
        }
    }

    /** Guards against shutting a connection down at the end of a drain's grace although its request has arrived. */
    @Test
    void requestThatArrivesBeforeADrainClosesItsConnectionIsAnswered() throws Exception {
        for (boolean handover : new boolean[] {false, true}) {
            try (FakeServer server = FakeServer.respondingWith("x");
                    NodeHarness harness = NodeHarness.withSilentDiscovery()) {
                harness.handsOverListener = handover;
                harness.start(server);
                Socket client = harness.connect();
                NodeHarness.write(client, Http.pageRequest("/api/p", "first", "15000m"));
                assertAnswered(client);
                long startNanos = System.nanoTime();
                CountDownLatch drained = harness.drain();
                harness.awaitEventLoop();
                CountDownLatch release = harness.blockEventHandling();
                sleepUntil(startNanos, GRACE_MS - MARGIN_MS);
                NodeHarness.write(client, Http.pageRequest("/api/p", "second", "15000m"));
                sleepUntil(startNanos, GRACE_MS + MARGIN_MS);
                release.countDown();
                assertAnswered(client);
                assertEquals(-1, client.getInputStream().read(), "the connection is closed after the response");
                assertTrue(drained.await(20, TimeUnit.SECONDS));
            }
        }
    }

    /**
     * Guards against connections that the system has accepted and the node has not, when it stops to listen: closing
     * the listening socket resets them with their requests.
     */
    @Test
    void requestOnAConnectionThatWaitsForItsAcceptWhenTheDrainStopsListeningIsAnswered() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            long startNanos = System.nanoTime();
            CountDownLatch drained = harness.drain();
            harness.awaitEventLoop();
            CountDownLatch release = harness.blockEventHandling();
            sleepUntil(startNanos, GRACE_MS - MARGIN_MS);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "new", "15000m"));
            sleepUntil(startNanos, GRACE_MS + MARGIN_MS);
            release.countDown();
            assertAnswered(client);
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }
}
