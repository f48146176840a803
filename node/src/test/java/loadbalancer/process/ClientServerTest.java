package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.RequestReader;
import loadbalancer.common.CapturedLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node as its clients see it: forwarding, rejections, draining and connection limits. */
class ClientServerTest {

    @Test
    void forwardsARequestUnchangedAndReturnsItsResponse() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("proof");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String photo = "POST /api/7f3a?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: photo\r\n"
                    + "X-Org: org\r\nX-Remaining: 480m\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 4\r\n\r\nbody";
            Http.Message response = harness.exchange(photo);
            assertEquals(200, response.status());
            assertEquals("proof", response.body());
            Http.Message sent = FakeServer.awaitNext(server.requests);
            assertEquals("POST /api/7f3a?x=1&y=%20 HTTP/1.1", sent.startLine());
            assertEquals("9b1f", sent.headers().get("x-txn"));
            assertEquals("5c0f", sent.headers().get("idempotency-key"));
            assertEquals("body", sent.body());
            long remainingUs = RequestReader.parseRemainingUs(sent.headers().get("x-remaining"));
            assertTrue(remainingUs > 0 && remainingUs < 480_000, "remaining time in µs: " + remainingUs);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"http://h:8000", "HTTP://h", "http://[::1]:80"})
    void forwardsByPathWhenTheRequestLineNamesAHost(String host) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest(host + "/api/7f3a?u=http://y", "t", "400m"))
                            .status());
            assertEquals(
                    "/api/7f3a?u=http://y",
                    FakeServer.awaitNext(server.requests).path());
            assertEquals(
                    200,
                    harness.exchange("GET " + host + "/up HTTP/1.1\r\nHost: h\r\n\r\n")
                            .status());
            assertEquals(
                    404,
                    harness.exchange("GET " + host + "?/up HTTP/1.1\r\nHost: h\r\n\r\n")
                            .status());
        }
    }

    @Test
    void acceptsARequestLineOfEightThousandBytes() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest("/api/" + "k".repeat(7_900), "t", "400m"))
                            .status());
        }
    }

    @Test
    void servesSeveralRequestsOnOneConnection() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        NodeHarness.exchange(client, Http.pageRequest("t" + i)).status());
            }
            assertEquals(1, server.connectionCount.get(), "connections to the server");
        }
    }

    @Test
    void respondsToPipelinedRequestsInOrder() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) ->
                        peer.write(Http.okResponse(request.headers().get("x-txn"))));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("a") + Http.pageRequest("b") + Http.pageRequest("c"));
            for (String txn : new String[] {"a", "b", "c"}) {
                assertEquals(txn, Http.readMessage(client.getInputStream()).body());
            }
        }
    }

    /**
     * Guards against forwarding an invalid request: a header field is missing, duplicated or malformed, or class,
     * method and idempotency key do not match. The node must respond with 400 and serve the next request.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/x HTTP/1.1|X-Lane: page|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Txn: u|X-Lane: page|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: none|X-Remaining: 400m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: -4m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: NaNm",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 9999999999m",
                "GET /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: page|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: photo|X-Remaining: 400m",
                "POST /api/x HTTP/1.1|X-Txn: t|X-Lane: order|X-Remaining: 400m|Idempotency-Key: k",
                "not http at all",
            })
    void rejectsInvalidRequestsWith400WithoutContactingAServer(String lines) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    400,
                    harness.exchange(lines.replace("|", "\r\n") + "\r\n\r\n").status());
            assertEquals(0, server.connectionCount.get());
            assertEquals(200, harness.exchange(Http.pageRequest("next")).status(), "the next request is served");
        }
    }

    @Test
    void respondsToAnUnknownPathWith404() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    404,
                    harness.exchange(Http.pageRequest("/apis/x", "t", "400m")).status());
            assertEquals(0, server.connectionCount.get());
        }
    }

    @Test
    void rejectsABodyOver32MiBAndServesBufferedAndStreamedOnes() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String order = Http.orderRequest("t", "4000m");
            for (int length : new int[] {65_535, 65_536, 65_537, 100_000}) {
                assertEquals(
                        200,
                        harness.exchange(order.replace(
                                        "Length: 2\r\n\r\nab", "Length: " + length + "\r\n\r\n" + "a".repeat(length)))
                                .status());
                assertEquals(
                        length, FakeServer.awaitNext(server.requests).body().length());
            }
            String larger = order.replace("Length: 2\r\n\r\nab", "Length: 33554433\r\n\r\n");
            assertEquals(413, harness.exchange(larger).status());
            assertTrue(server.requests.isEmpty());
        }
    }

    /**
     * Guards against losing a rejection. A client announces a body that is too large, and keeps sending it after the
     * node has rejected it. Closing a socket with unread bytes would reset the connection and lose the response, so the
     * node must read on until the client has the response.
     */
    @Test
    void deliversTheRejectionOfALargeBodyWhileItIsStillArriving() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(
                    client,
                    Http.orderRequest("t", "4000m")
                            .replace("Length: 2\r\n\r\nab", "Length: 60000000\r\n\r\n" + "a".repeat(8_000_000)));
            assertEquals(413, Http.readMessage(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, server.connectionCount.get());
        }
    }

    /**
     * Guards against servers that work for clients that are gone. A client disconnects while a server works on its
     * request. The node must close the connection to that server.
     */
    @Test
    void abortsTheAttemptOfAClientThatDisconnects() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) -> {});
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "5000m"));
            FakeServer.awaitNext(server.requests);
            client.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    @Test
    void drainingFailsReadinessServesOpenRequestsAndEnds() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    requestReceived.countDown();
                    try {
                        responseAllowed.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(Http.okResponse("late"));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    200, harness.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
            Socket client = harness.connect();
            Socket idle = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "5000m"));
            assertTrue(requestReceived.await(20, TimeUnit.SECONDS));
            CountDownLatch drained = new CountDownLatch(1);
            harness.node.drain(System.nanoTime(), drained::countDown);
            Http.Message up = harness.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals(503, up.status());
            assertEquals("close", up.headers().get("connection"));
            // The node closes idle connections when it stops accepting new ones. It still serves open requests.
            assertEquals(-1, idle.getInputStream().read());
            harness.awaitConnectionRefused();
            assertEquals(1, drained.getCount());
            responseAllowed.countDown();
            Http.Message last = Http.readMessage(client.getInputStream());
            assertEquals("late", last.body());
            assertEquals("close", last.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against peers that occupy sockets. A peer connects and sends nothing, half of a request head, or a head
     * without its body. The node must close its connection soon, but keep that of a client that has completed a
     * request.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /api/x HT",
                "POST /api/x HTTP/1.1\r\nX-Txn: t\r\nX-Lane: order\r\nX-Remaining: 400m\r\nContent-Length: 9\r\n\r\n",
            })
    void closesAPeerWithoutACompleteRequestAndKeepsAClient(String part) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            Socket peer = harness.connect();
            peer.setSoTimeout(8_000);
            NodeHarness.write(peer, part);
            assertEquals(-1, peer.getInputStream().read());
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("u")).status());
        }
    }

    /**
     * Guards against logging an error that is not a fault of the node. A client closes its connection in the middle of
     * a request body.
     */
    @Test
    void doesNotLogAClientThatClosesDuringItsRequest() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String lines = CapturedLog.of(() -> {
                Socket client = harness.connect();
                NodeHarness.write(client, Http.orderRequest("t", "400m").replace("Length: 2", "Length: 9"));
                client.shutdownOutput();
                assertEquals(-1, client.getInputStream().read());
                // Waits until the event loop has handled the close of the connection.
                harness.loop.submit(() -> {}).sync();
            });
            assertFalse(lines.contains("client_connection_error"), lines);
        }
    }

    /**
     * Guards against logging an error that is not a fault of the node. A client resets its connection in the middle of
     * a request body. Unlike an orderly close, this is an I/O error that reaches the handler of the connection.
     */
    @Test
    void doesNotLogAClientThatResetsDuringItsRequest() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String lines = CapturedLog.of(() -> {
                Socket client = harness.connect();
                NodeHarness.write(client, Http.orderRequest("t", "400m").replace("Length: 2", "Length: 9"));
                client.setSoLinger(true, 0);
                client.close();
                // The node still serves requests, and has read the reset before this response arrives.
                assertEquals(200, harness.exchange(Http.pageRequest("next")).status());
                harness.loop.submit(() -> {}).sync();
            });
            assertFalse(lines.contains("client_connection_error"), lines);
        }
    }

    /**
     * Guards against clients that use up all sockets, so that no connection to a server can be opened. More clients
     * connect than the socket limit allows. The node must close the client that has been idle longest.
     */
    @Test
    void closesTheLongestIdleClientWhenSocketsRunOut() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.socketLimit = 64;
            harness.start(server);
            Socket first = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(first, Http.pageRequest("first")).status());
            for (int i = 0; i < 100; i++) {
                harness.connect();
            }
            assertEquals(200, harness.exchange(Http.pageRequest("last")).status());
            assertEquals(-1, first.getInputStream().read(), "the client that was idle longest is closed");
        }
    }

    @Test
    void rejectionsCarryRetryAfter() throws Exception {
        try (FakeServer server = new FakeServer(
                        (request, peer) -> peer.write(Http.response("503 Busy", "X-Turned-Away: 1\r\n", "")));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Http.Message response = harness.exchange(Http.orderRequest("t", "300m"));
            assertEquals(503, response.status());
            assertEquals("0.25", response.headers().get("retry-after"));
            assertFalse(response.headers().containsKey("connection"));
        }
    }
}
