package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.RequestReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients see of a node. */
class ClientServerTest {

    @Test
    void forwardsARequestUnchangedAndReturnsItsResponse() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("proof");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String photo = "POST /api/7f3a?x=1&y=%20 HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: photo\r\n"
                    + "X-Org: org\r\nX-Remaining: 480m\r\nIdempotency-Key: 5c0f\r\n"
                    + "Content-Length: 4\r\n\r\nbody";
            Http.Message answer = harness.exchange(photo);
            assertEquals(200, answer.status());
            assertEquals("proof", answer.body());
            Http.Message sent = FakeServer.awaitNext(server.requests);
            assertEquals("POST /api/7f3a?x=1&y=%20 HTTP/1.1", sent.startLine());
            assertEquals("9b1f", sent.headers().get("x-txn"));
            assertEquals("5c0f", sent.headers().get("idempotency-key"));
            assertEquals("body", sent.body());
            long left = RequestReader.parseRemainingUs(sent.headers().get("x-remaining"));
            assertTrue(left > 0 && left < 480_000, "left " + left);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"http://h:8000", "HTTP://h", "http://[::1]:80"})
    void forwardsByPathWhereTheRequestLineNamesAHost(String host) throws Exception {
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
    void answersPipelinedRequestsInOrder() throws Exception {
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
     * A client sends a request that lacks a field, gives one twice, or combines class, method and key in a way that
     * the protocol doesn't know. It gets a 400, no server sees the request, and the node serves the next one.
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
    void rejectsUnusableRequestsWith400WithoutAServer(String lines) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals(
                    400,
                    harness.exchange(lines.replace("|", "\r\n") + "\r\n\r\n").status());
            assertEquals(0, server.connectionCount.get());
            assertEquals(200, harness.exchange(Http.pageRequest("next")).status(), "the node goes on");
        }
    }

    @Test
    void answersAnUnknownPathWith404() throws Exception {
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
     * A client announces too large a body and goes on sending it after the node has rejected it. A socket closed over
     * unread bytes would reset the connection and lose the response; the node reads on until the client has it.
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
     * A client closes while a server works on its request. The node closes the connection to that server, as nobody
     * waits for the response.
     */
    @Test
    void abortsTheAttemptOfAClientThatCloses() throws Exception {
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
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    asked.countDown();
                    try {
                        answer.await();
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
            assertTrue(asked.await(20, TimeUnit.SECONDS));
            CountDownLatch done = new CountDownLatch(1);
            harness.node.drain(done::countDown);
            Http.Message up = harness.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            assertEquals(503, up.status());
            assertEquals("close", up.headers().get("connection"));
            // The end of an idle connection tells that nothing new is taken; what is held is still answered.
            assertEquals(-1, idle.getInputStream().read());
            harness.awaitConnectionRefused();
            assertEquals(1, done.getCount());
            answer.countDown();
            Http.Message last = Http.readMessage(client.getInputStream());
            assertEquals("late", last.body());
            assertEquals("close", last.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * A peer connects and sends nothing, half a head, or a head without its body. It would hold a socket for as long
     * as it likes, so the node closes it soon. A client that has sent a request before is left alone.
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
     * A client ends its connection amid the body of its request. That is no fault of the node, so nothing is logged as
     * an error of the connection.
     */
    @Test
    void doesNotLogAClientThatLeavesAmidItsRequest() throws Exception {
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("t", "400m").replace("Length: 2", "Length: 9"));
            client.shutdownOutput();
            assertEquals(-1, client.getInputStream().read());
            // What the loop still does about the closed connection comes before this.
            harness.loop.submit(() -> {}).sync();
        } finally {
            System.setErr(err);
        }
        String lines = said.toString(StandardCharsets.UTF_8);
        assertFalse(lines.contains("client_connection_error"), lines);
    }

    /**
     * A client resets its connection amid the body of its request, which the node sees as an I/O error. That is no
     * fault of the node either. Here the error reaches the connection's handler; after an orderly end there is none.
     */
    @Test
    void doesNotLogAClientThatResetsAmidItsRequest() throws Exception {
        PrintStream err = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("t", "400m").replace("Length: 2", "Length: 9"));
            client.setSoLinger(true, 0);
            client.close();
            // The node serves on, and has read the reset before this request's response arrives.
            assertEquals(200, harness.exchange(Http.pageRequest("next")).status());
            harness.loop.submit(() -> {}).sync();
        } finally {
            System.setErr(err);
        }
        String lines = said.toString(StandardCharsets.UTF_8);
        assertFalse(lines.contains("client_connection_error"), lines);
    }

    /**
     * More clients connect than the limit of sockets allows. The node closes the client that has been idle for
     * longest, so that connections to servers can still be opened.
     */
    @Test
    void closesTheLongestIdleClientWhereSocketsRunOut() throws Exception {
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
            assertEquals(-1, first.getInputStream().read(), "the longest idle made room");
        }
    }

    @Test
    void rejectionsCarryRetryAfter() throws Exception {
        try (FakeServer server = new FakeServer(
                        (request, peer) -> peer.write(Http.response("503 Busy", "X-Turned-Away: 1\r\n", "")));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Http.Message answer = harness.exchange(Http.orderRequest("t", "300m"));
            assertEquals(503, answer.status());
            assertEquals("0.25", answer.headers().get("retry-after"));
            assertFalse(answer.headers().containsKey("connection"));
        }
    }
}
