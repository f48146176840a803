package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import loadbalancer.transfer.TransferLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests whose client disconnects. The expected results are in {@code docs/acceptance.md}. */
class ClientDisconnectTest {
    private static final String ORDER = Http.orderRequest("t", "15000m");
    private static final String PAGE = Http.pageRequest("/api/p", "t", "15000m");
    private static final String PIPELINED = Http.pageRequest("a") + Http.pageRequest("b");

    /**
     * Guards against sending a request whose client is gone. The client pipelines two requests and disconnects while
     * the first is in flight. The node must read on behind the second request, otherwise it does not detect the
     * disconnect.
     */
    @Test
    void disconnectIsNoticedBehindPipelinedRequests() throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(responseAllowed);
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start(server);
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            assertEquals("a", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            client.close();
            // The disconnect is detected before the server responds.
            harness.awaitMetric("node_in_progress 0");
            responseAllowed.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("c")).status());
            assertEquals(
                    "c",
                    FakeServer.awaitNext(server.requests).headers().get("x-txn"),
                    "request b was sent to the server");
        }
    }

    /**
     * Guards against sending a request whose client is gone. The request waits because no server is known, and its
     * client disconnects. A server that is announced afterwards must not get the request.
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
     * Guards against retrying a request whose client is gone. The only server resets the connection, and the client
     * disconnects while the request waits for another server.
     */
    @Test
    void nothingIsRetriedAfterADisconnectBetweenAttempts() throws Exception {
        CountDownLatch resetAllowed = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(resetAllowed);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = sendRequest(harness, first);
            resetAllowed.countDown();
            FakeServer.awaitNext(first.respondedConnections);
            // The only server has failed, so the request waits for another one.
            harness.awaitEventLoop();
            client.close();
            harness.awaitMetric("node_in_progress 0");
            announceAndAwait(harness, second);
            harness.awaitEventLoop();
            assertTrue(second.requests.isEmpty());
        }
    }

    /**
     * Guards against sending a request whose client is gone. Clients send a request and disconnect while the event loop
     * is blocked. The loop then reads both in one turn, the disconnect after the request.
     */
    @Test
    void nothingIsSentWhenRequestAndDisconnectAreReadInOneTurn() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            // Opens a connection to the server, so that a later request would be written at once.
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
     * Guards against retrying a request whose client is gone. The server resets the connection and the client
     * disconnects while the event loop is blocked. The loop then reads both in one turn, in any order.
     */
    @Test
    void nothingIsRetriedWhenDisconnectAndFailureAreReadInOneTurn() throws Exception {
        CountDownLatch resetAllowed = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(resetAllowed);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = sendRequest(harness, first);
            announceAndAwait(harness, second);
            CountDownLatch release = harness.blockEventLoop();
            resetAllowed.countDown();
            FakeServer.awaitNext(first.respondedConnections);
            client.close();
            release.countDown();
            harness.awaitMetric("node_in_progress 0");
            harness.awaitEventLoop();
            assertEquals(0, second.connectionCount.get());
        }
    }

    /**
     * Guards against leaking connections to servers. A server sends a response that never ends, and its client
     * disconnects. The node must close the connection to the server, whether the response has reached the client or is
     * still buffered.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 70_000})
    void endlessResponseEndsWhenItsClientDisconnects(int bytes) throws Exception {
        try (FakeServer server = new FakeServer((request, connection) ->
                        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + NodeHarness.chunk("a".repeat(bytes))));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.awaitNext(server.respondedConnections);
            if (bytes > TransferLimits.MAX_BUFFERED_BYTES) {
                assertEquals(200, Http.readHead(client.getInputStream()).status());
            }
            client.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    /**
     * Guards against reading the rest of one response as the response to the next request. The server has sent half of
     * a status line when the client disconnects, and the event loop reads both in one turn.
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
            FakeServer.Connection connection = FakeServer.awaitNext(server.respondedConnections);
            // The loop reads the disconnect and half of the status line in one turn.
            CountDownLatch release = harness.blockEventLoop();
            connection.write("HTTP/1.1 200 O");
            client.close();
            release.countDown();
            FakeServer.awaitNext(server.closedConnections);
            assertEquals("next", harness.exchange(Http.pageRequest("u")).body());
        }
    }

    /** Returns a client whose request is in flight at the only server of the node. */
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
