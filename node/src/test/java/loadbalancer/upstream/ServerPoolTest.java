package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import loadbalancer.process.FakeServer;
import loadbalancer.process.Http;
import loadbalancer.process.NodeHarness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how attempts end, as seen by clients: an order, which is not idempotent, is retried only if it never ran. */
class ServerPoolTest {
    private static final int REQUEST_COUNT = 12;

    /** Sends {@link #REQUEST_COUNT} orders, about half of them to the first server, and checks that all are served. */
    private static void assertAllServed(NodeHarness harness) throws IOException {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertEquals(
                    200, harness.exchange(Http.orderRequest("t" + i, "4000m")).status());
        }
    }

    /**
     * A server refuses connections. The request has not run there, so even a request that must run only once is retried
     * on another server.
     */
    @Test
    void refusedConnectionIsRetried() throws Exception {
        try (FakeServer refusing = FakeServer.respondingWith("x");
                FakeServer healthy = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            refusing.stop();
            harness.start(refusing, healthy);
            assertAllServed(harness);
            assertEquals(REQUEST_COUNT, healthy.requests.size());
        }
    }

    /**
     * An overloaded server rejects requests and marks them as not run. They are retried on another server.
     */
    @Test
    void rejectionByOverloadedServerIsRetried() throws Exception {
        try (FakeServer overloaded = new FakeServer(
                        (request, peer) -> peer.write(Http.response("504 Over", "X-Turned-Away: 1\r\n", "")));
                FakeServer healthy = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(overloaded, healthy)) {
            assertAllServed(harness);
            assertEquals(REQUEST_COUNT, healthy.requests.size());
            assertTrue(overloaded.requests.size() > 0);
        }
    }

    /**
     * A server sends an error, a truncated response, or one that is not valid HTTP/1.1. The request may have run, so it
     * is not retried. The client receives a 502 and no part of the response.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 Error\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                "",
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly part of it",
                "HTTP/1.1 200 OK\r\n\r\nhow long is this",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
                "what is this\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\n: no name\r\nContent-Length: 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nno colon here\r\n\r\n",
            })
    void invalidResponseFailsWithoutRetry(String response) throws Exception {
        try (FakeServer bad = new FakeServer((request, peer) -> {
                    peer.write(response);
                    peer.socket().close();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(bad)) {
            assertEquals(502, harness.exchange(Http.orderRequest("t", "4000m")).status());
            assertEquals(1, bad.requests.size(), "the order must not be retried");
        }
    }

    /**
     * A server resets the connection instead of responding. The request may have run, but as it is idempotent, it is
     * retried on another server.
     */
    @Test
    void idempotentRequestIsRetriedAfterReset() throws Exception {
        try (FakeServer bad = new FakeServer((request, peer) -> peer.reset());
                FakeServer healthy = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(bad, healthy)) {
            for (int i = 0; i < REQUEST_COUNT; i++) {
                assertEquals(
                        200,
                        harness.exchange(Http.pageRequest("/api/p", "t" + i, "4000m"))
                                .status());
            }
            assertTrue(bad.requests.size() > 0);
        }
    }

    @Test
    void interimResponsesAreSkipped() throws Exception {
        try (FakeServer server = new FakeServer(
                        (request, peer) -> peer.write("HTTP/1.1 102 Processing\r\n\r\n" + Http.okResponse("final")));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals("final", harness.exchange(Http.pageRequest("t")).body());
        }
    }

    /**
     * A server sends a second response right after the first. If the node took it for the response to the next request,
     * it would go to the wrong client. The node closes the connection instead.
     */
    @Test
    void connectionWithBytesAfterResponseIsClosed() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) ->
                        peer.write(Http.okResponse(request.headers().get("x-txn")) + Http.okResponse("stray")));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        "t" + i,
                        harness.exchange(Http.pageRequest("/api/p", "t" + i, "4000m"))
                                .body());
            }
        }
    }

    /**
     * A server never responds, and the attempt times out. Its connection must be closed, as a late response on it would
     * be taken for the response to another request.
     */
    @Test
    void timeoutClosesConnectionOfAttempt() throws Exception {
        try (FakeServer silent = new FakeServer((request, peer) -> {});
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(silent)) {
            assertEquals(502, harness.exchange(Http.orderRequest("t", "100m")).status());
            FakeServer.awaitNext(silent.closedConnections);
        }
    }

    @Test
    void newestConnectionIsReusedAndIdleOnesAreEvicted() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.serverIdleTimeoutUs = 200_000;
            harness.start(server);
            assertEquals(200, harness.exchange(Http.pageRequest("a")).status());
            assertEquals(200, harness.exchange(Http.pageRequest("b")).status());
            FakeServer.Connection first = FakeServer.awaitNext(server.respondedConnections);
            assertEquals(first, FakeServer.awaitNext(server.respondedConnections), "the connection must be reused");
            assertEquals(
                    first, FakeServer.awaitNext(server.closedConnections), "the node must close the idle connection");
            assertEquals(200, harness.exchange(Http.pageRequest("c")).status());
            assertNotEquals(first, FakeServer.awaitNext(server.respondedConnections));
        }
    }

    /**
     * A request waits for a connection to a server that does not accept any. When the endpoint list reports that server
     * as draining, the request must be sent to another one immediately.
     */
    @Test
    void drainRedirectsRequestsThatWaitForConnection() throws Exception {
        // The backlog of this listener is full, so further connections to it are never established.
        try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket one = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                Socket two = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                FakeServer healthy = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            assertTrue(one.isConnected() && two.isConnected());
            String entry = "s0=127.0.0.1:" + hanging.getLocalPort();
            harness.startWithList(NodeHarness.endpointList(1, true, entry + "=Ready"));
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("t", "5000m"));
            // Once a later request has its response, the order has been read and waits for a connection.
            assertEquals(
                    404,
                    harness.exchange(Http.pageRequest("/nothing", "u", "1m")).status());
            watch.write(NodeHarness.chunk(
                    NodeHarness.endpointList(2, false, entry + "=Terminating", "s1=" + healthy.endpoint() + "=Ready")
                            + "\n"));
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
        }
    }

    /**
     * The event loop reads a request and an endpoint list in which its server drains in the same turn. The server is
     * chosen before the list is read, and the request must still go to another server.
     */
    @Test
    void drainReadInTurnOfServerChoiceRedirectsRequest() throws Exception {
        try (FakeServer drains = FakeServer.respondingWith("drains");
                FakeServer other = FakeServer.respondingWith("other");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(drains)) {
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            Socket client = harness.connect();
            assertEquals(
                    "drains",
                    NodeHarness.exchange(client, Http.pageRequest("/api/p", "a", "15000m"))
                            .body());
            CountDownLatch release = harness.blockEventLoop();
            NodeHarness.write(client, Http.pageRequest("/api/p", "b", "15000m"));
            watch.write(NodeHarness.chunk(NodeHarness.endpointList(
                            2, false, "s0=" + drains.endpoint() + "=Terminating", "s1=" + other.endpoint() + "=Ready")
                    + "\n"));
            release.countDown();
            assertEquals("other", Http.readMessage(client.getInputStream()).body());
            assertEquals(1, drains.requests.size());
        }
    }

    @Test
    void changedAddressGetsNewConnections() throws Exception {
        try (FakeServer before = FakeServer.respondingWith("old");
                FakeServer after = FakeServer.respondingWith("new");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(before)) {
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            assertEquals("old", harness.exchange(Http.pageRequest("a")).body());
            watch.write(
                    NodeHarness.chunk(NodeHarness.endpointList(2, false, "s0=" + after.endpoint() + "=Ready") + "\n"));
            FakeServer.awaitNext(before.closedConnections);
            assertEquals("new", harness.exchange(Http.pageRequest("b")).body());
        }
    }
}
