package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients get whose requests are open when SIGTERM comes: {@code docs/acceptance.md}. */
class GracefulShutdownTest {
    private static final String ORDER = Http.orderRequest("t", "15000m");
    private static final String PAGE = Http.pageRequest("/api/p", "t", "15000m");
    private static final String PIPELINED = Http.pageRequest("a") + Http.pageRequest("b");

    /**
     * SIGTERM comes while the node has read a part of a request: a part of its request line, of a header field, or
     * all but the last byte of its body. The client sends the rest. It is owed a response, as it cannot know that
     * the node is shutting down.
     */
    @ParameterizedTest
    @CsvSource({"0, 10", "0, 40", "1, 10", "1, 70", "0, 1"})
    void requestHalfReadAtSigtermIsServedOnceItIsComplete(int before, int cut) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (int i = 0; i < before; i++) {
                assertEquals(
                        200, NodeHarness.exchange(client, Http.pageRequest("b")).status());
            }
            int at = cut == 1 ? ORDER.length() - 1 : cut;
            NodeHarness.write(client, ORDER.substring(0, at));
            harness.awaitEventLoop();
            CountDownLatch drained = drainPastIdleClose(harness);
            NodeHarness.write(client, ORDER.substring(at));
            assertLastResponse(client, "x", drained);
            assertEquals(before + 1, server.requests.size());
        }
    }

    /**
     * SIGTERM comes while a request waits, as no server is known yet. A server is announced afterwards. The request
     * is sent to it as if there were no shutdown.
     */
    @Test
    void requestThatWaitsForAServerAtSigtermIsServed() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start()) {
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
            CountDownLatch drained = drainPastIdleClose(harness);
            harness.announceServer("s0", server);
            assertLastResponse(client, "x", drained);
        }
    }

    /**
     * SIGTERM comes while a request is in flight, and then its server resets the connection. The request is retried
     * on another server, also while the node drains.
     */
    @Test
    void requestThatIsRetriedAfterSigtermIsServed() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(drains);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(first)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.awaitNext(first.requests);
            CountDownLatch drained = drainPastIdleClose(harness);
            harness.announceServer("s1", second);
            drains.countDown();
            assertLastResponse(client, "x", drained);
        }
    }

    /**
     * SIGTERM comes in the middle of a large response. The rest of it still reaches the client; a node that closed
     * the connection would leave the client with half of a response.
     */
    @Test
    void responseInTransferAtSigtermIsCompleted() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        String half = "a".repeat(100_000);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
                    FakeServer.awaitLatch(drains);
                    connection.write(half);
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(200, head.status());
            // The head was sent without Connection: close; the close of the connection itself says so.
            CountDownLatch drained = drainPastIdleClose(harness);
            drains.countDown();
            assertEquals(200_000, Http.readBody(client.getInputStream(), head).length);
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * SIGTERM comes while a client has two requests pipelined. Both get a response, and only the last one says that
     * the connection closes: after a response that says so, a client drops the requests behind it.
     */
    @Test
    void drainAnswersPipelinedRequestsAndClosesWithTheLastResponse() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            FakeServer.awaitNext(server.requests);
            harness.awaitEventLoop();
            CountDownLatch drained = harness.drain();
            answer.countDown();
            Http.Message first = Http.readMessage(client.getInputStream());
            assertEquals("a", first.body());
            assertFalse(first.headers().containsKey("connection"));
            Http.Message second = Http.readMessage(client.getInputStream());
            assertEquals("b", second.body());
            assertEquals("close", second.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * The node closes its side of an idle connection while a request is on its way to it. The client repeats that
     * request elsewhere. So it must not be forwarded here, and it must not be answered by a reset, which could
     * destroy a response that is still on its way.
     */
    @Test
    void requestThatCrossesTheCloseOfAnIdleConnectionIsNotForwarded() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            CountDownLatch drained = harness.drain();
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(harness, client);
            assertEquals(1, server.requests.size());
            assertEquals(1, drained.getCount(), "the client may not know of the close yet");
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * A client goes on sending after the response that ends its connection, be it by SIGTERM or by the client's own
     * wish. A reset at that point could overtake the response. So its bytes are read and dropped, and none of them
     * reaches a server.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bytesBehindTheLastResponseAreReadAndDropped(boolean drains) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            String last = Http.pageRequest("/api/page", "a", "5000m");
            NodeHarness.write(client, drains ? last : last.replace("X-Org", "Connection: close\r\nX-Org"));
            FakeServer.awaitNext(server.requests);
            if (drains) {
                harness.drain();
            }
            answer.countDown();
            assertEquals("a", Http.readMessage(client.getInputStream()).body());
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(harness, client);
            assertTrue(server.requests.isEmpty());
        }
    }

    /**
     * The node has closed its side of a connection, and the client never closes its own. The drain ends all the
     * same: otherwise one such client would keep the process until it is killed.
     */
    @Test
    void clientThatNeverClosesItsSideDoesNotHoldUpTheDrain() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            CountDownLatch drained = harness.drain();
            assertEquals(-1, client.getInputStream().read());
            assertTrue(drained.await(20, TimeUnit.SECONDS), "it never closes its side");
        }
    }

    /**
     * SIGTERM comes while a server never answers a request whose deadline is a minute away. The platform kills the
     * process after 3.7 s. The client must have its response before that: a reset does not tell it whether its order
     * may have been carried out.
     */
    @Test
    void requestInFlightGetsAResponseBeforeTheProcessIsKilled() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> FakeServer.awaitLatch(never));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket out = harness.connect();
            NodeHarness.write(out, Http.orderRequest("out", "60000m"));
            FakeServer.awaitNext(server.requests);
            CountDownLatch drained = harness.drain();
            Http.Message answer = Http.readMessage(out.getInputStream());
            assertEquals(502, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            out.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
            never.countDown();
        }
    }

    /** Drains the node and waits until it has closed its idle connections. */
    private static CountDownLatch drainPastIdleClose(NodeHarness harness) throws Exception {
        Socket resting = harness.connect();
        assertEquals(
                404,
                NodeHarness.exchange(resting, Http.pageRequest("/nothing", "u", "1m"))
                        .status());
        CountDownLatch drained = new CountDownLatch(1);
        harness.node.drain(drained::countDown);
        assertEquals(-1, resting.getInputStream().read());
        resting.close();
        return drained;
    }

    private static void assertLastResponse(Socket client, String body, CountDownLatch drained) throws Exception {
        Http.Message answer = Http.readMessage(client.getInputStream());
        assertEquals(body, answer.body());
        assertEquals("close", answer.headers().get("connection"));
        assertEquals(-1, client.getInputStream().read());
        client.close();
        assertTrue(drained.await(20, TimeUnit.SECONDS));
    }

    /** What the client still writes is read and dropped: it is never answered by a reset. */
    private static void assertReadAndDropped(NodeHarness harness, Socket client) throws Exception {
        for (int i = 0; i < 20; i++) {
            // A closed connection answers the first of these by a reset, and the next write fails.
            NodeHarness.write(client, Http.pageRequest("late" + i));
            harness.awaitEventLoop();
        }
    }
}
