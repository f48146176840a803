package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What happens to a request whose client disconnects: {@code docs/acceptance.md}. */
class ClientDisconnectTest {
    private static final String ORDER = Http.orderRequest("t", "15000m");
    private static final String PAGE = Http.pageRequest("/api/p", "t", "15000m");
    private static final String PIPELINED = Http.pageRequest("a") + Http.pageRequest("b");

    /**
     * A client sends two requests at once and disconnects while the first is in flight. The node must read on to
     * notice that, although it does not serve the second request yet; the second must never be sent to a server.
     */
    @Test
    void disconnectIsNoticedBehindPipelinedRequests() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start(server);
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            assertEquals("a", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            client.close();
            // Noticed while the server has not answered yet.
            harness.awaitMetric("node_in_progress 0");
            answer.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("c")).status());
            assertEquals("c", FakeServer.awaitNext(server.requests).headers().get("x-txn"), "b was sent to the server");
        }
    }

    /**
     * A request waits, as no server is known, and its client disconnects. A server that is announced afterwards must
     * not get the request: nobody waits for its effect.
     */
    @Test
    void nothingIsSentAfterADisconnectWhileTheRequestWaits() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start();
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
            harness.awaitMetric("node_in_progress 1");
            client.close();
            harness.awaitMetric("node_in_progress 0");
            harness.announceServer("s0", server);
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest("/api/p", "next", "15000m"))
                            .status());
            assertEquals("next", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    /**
     * The only server resets the connection of a request, and while the request waits for another server its client
     * disconnects. The request must not be retried.
     */
    @Test
    void nothingIsRetriedAfterADisconnectBetweenAttempts() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(reset);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = sendRequest(harness, first);
            reset.countDown();
            FakeServer.awaitNext(first.answeredConnections);
            // Its only server has failed: it waits for another.
            harness.awaitEventLoop();
            client.close();
            harness.awaitMetric("node_in_progress 0");
            announceAndAwait(harness, second);
            harness.awaitEventLoop();
            assertTrue(second.requests.isEmpty());
        }
    }

    /**
     * A client sends a request and disconnects at once, while the event loop is busy; the loop then reads both in
     * one turn. The disconnect counts, though it is read after the request.
     */
    @Test
    void nothingIsSentWhenRequestAndDisconnectAreReadInOneTurn() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            // An idle connection to the server: what is sent on it is written at once.
            assertEquals(200, harness.exchange(Http.pageRequest("first")).status());
            Socket open = harness.connect();
            Socket late = harness.connect();
            harness.awaitEventLoop();
            CountDownLatch release = harness.blockEventLoop();
            for (Socket client : List.of(open, late, harness.connect())) {
                NodeHarness.write(client, PAGE);
                client.close();
            }
            release.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("last")).status());
            assertEquals(
                    "first", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            assertEquals("last", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    /**
     * A server resets the connection of a request and its client disconnects, both while the event loop is busy. The
     * loop reads both in one turn, in any order. The request must not be retried on the other server.
     */
    @Test
    void nothingIsRetriedWhenDisconnectAndFailureAreReadInOneTurn() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(reset);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = sendRequest(harness, first);
            announceAndAwait(harness, second);
            CountDownLatch release = harness.blockEventLoop();
            reset.countDown();
            FakeServer.awaitNext(first.answeredConnections);
            client.close();
            release.countDown();
            harness.awaitMetric("node_in_progress 0");
            harness.awaitEventLoop();
            assertEquals(0, second.connectionCount.get());
        }
    }

    /**
     * A server sends a response that never ends, and the client disconnects. The connection to the server is closed:
     * otherwise each such client would cost the node a connection for good.
     */
    @Test
    void endlessResponseEndsWhenItsClientDisconnects() throws Exception {
        try (FakeServer server = new FakeServer((request, connection) ->
                        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnever\r\n"));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            assertEquals(200, Http.readHead(client.getInputStream()).status());
            client.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    /**
     * A server has sent half of a status line when the client disconnects; the loop reads both in one turn. The half
     * line must not be taken for a response to the next request.
     */
    @Test
    void partialResponseOfACancelledAttemptIsDropped() throws Exception {
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if (!"t".equals(request.headers().get("x-txn"))) {
                        connection.write(Http.okResponse("next"));
                    }
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.Connection connection = FakeServer.awaitNext(server.answeredConnections);
            // The loop reads the disconnect and half of a response's head in one turn.
            CountDownLatch release = harness.blockEventLoop();
            connection.write("HTTP/1.1 200 O");
            client.close();
            release.countDown();
            FakeServer.awaitNext(server.closedConnections);
            assertEquals("next", harness.exchange(Http.pageRequest("u")).body());
        }
    }

    /** A client whose request is in flight at the node's only server. */
    private static Socket sendRequest(NodeHarness harness, FakeServer server) throws Exception {
        harness.hasControl = true;
        harness.start(server);
        Socket client = harness.connect();
        NodeHarness.write(client, PAGE);
        FakeServer.awaitNext(server.requests);
        return client;
    }

    private static void announceAndAwait(NodeHarness harness, FakeServer second) throws Exception {
        harness.announceServer("s1", second);
        harness.awaitMetric("node_known_app_servers 2");
    }
}
