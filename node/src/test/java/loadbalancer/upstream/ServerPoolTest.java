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

/** How attempts end, seen from outside: an order may go on to another server only if it never ran. */
class ServerPoolTest {
    private static final int ASKED = 12;

    /** Asks for a number of orders, of which about half meet the first server; all must be served. */
    private static void allServed(NodeHarness harness) throws IOException {
        for (int i = 0; i < ASKED; i++) {
            assertEquals(
                    200, harness.exchange(Http.orderRequest("t" + i, "4000m")).status());
        }
    }

    /**
     * A server refuses connections. The attempt has never run, so also a request that must run once only goes on to
     * another server.
     */
    @Test
    void retriesAfterARefusedConnection() throws Exception {
        try (FakeServer dead = FakeServer.respondingWith("x");
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            dead.stop();
            harness.start(dead, good);
            allServed(harness);
            assertEquals(ASKED, good.requests.size());
        }
    }

    /**
     * A server rejects requests as it is overloaded, and says that it has not run them. They go on to another server.
     */
    @Test
    void retriesAfterLoadShedding() throws Exception {
        try (FakeServer full = new FakeServer(
                        (request, peer) -> peer.write(Http.response("504 Over", "X-Turned-Away: 1\r\n", "")));
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(full, good)) {
            allServed(harness);
            assertEquals(ASKED, good.requests.size());
            assertTrue(full.requests.size() > 0);
        }
    }

    /**
     * A server responds with an error, with a truncated response, or with something that is no HTTP/1.1. The request
     * may have run, so it isn't sent again; the client gets a 502 and nothing of the response.
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
    void failsABadResponseWithoutARetry(String answer) throws Exception {
        try (FakeServer bad = new FakeServer((request, peer) -> {
                    peer.write(answer);
                    peer.socket().close();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(bad)) {
            assertEquals(502, harness.exchange(Http.orderRequest("t", "4000m")).status());
            assertEquals(1, bad.requests.size(), "an order is sent once");
        }
    }

    /**
     * A server resets the connection instead of responding. The request may have run, but is idempotent, so another
     * server gets it.
     */
    @Test
    void retriesAnIdempotentRequestAfterAReset() throws Exception {
        try (FakeServer bad = new FakeServer((request, peer) -> peer.reset());
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(bad, good)) {
            for (int i = 0; i < ASKED; i++) {
                assertEquals(
                        200,
                        harness.exchange(Http.pageRequest("/api/p", "t" + i, "4000m"))
                                .status());
            }
            assertTrue(bad.requests.size() > 0);
        }
    }

    @Test
    void skipsInterimResponses() throws Exception {
        try (FakeServer server = new FakeServer(
                        (request, peer) -> peer.write("HTTP/1.1 102 Processing\r\n\r\n" + Http.okResponse("final")));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            assertEquals("final", harness.exchange(Http.pageRequest("t")).body());
        }
    }

    /**
     * A server sends a second response right behind the first. Taken for the response to the next request, it would go
     * to the wrong client; the node closes the connection instead.
     */
    @Test
    void dropsAConnectionWithBytesBehindItsResponse() throws Exception {
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
     * A server never responds. When the attempt's time is up, its connection is closed, as a late response on it would
     * answer the wrong request.
     */
    @Test
    void closesTheConnectionOfAnAttemptThatTimesOut() throws Exception {
        try (FakeServer silent = new FakeServer((request, peer) -> {});
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(silent)) {
            assertEquals(502, harness.exchange(Http.orderRequest("t", "100m")).status());
            FakeServer.awaitNext(silent.closedConnections);
        }
    }

    @Test
    void reusesTheNewestConnectionAndEvictsIdleOnes() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.serverIdleTimeoutUs = 200_000;
            harness.start(server);
            assertEquals(200, harness.exchange(Http.pageRequest("a")).status());
            assertEquals(200, harness.exchange(Http.pageRequest("b")).status());
            FakeServer.Connection first = FakeServer.awaitNext(server.respondedConnections);
            assertEquals(first, FakeServer.awaitNext(server.respondedConnections), "used again");
            assertEquals(
                    first, FakeServer.awaitNext(server.closedConnections), "closed by the node before the server does");
            assertEquals(200, harness.exchange(Http.pageRequest("c")).status());
            assertNotEquals(first, FakeServer.awaitNext(server.respondedConnections));
        }
    }

    /**
     * A request waits for a connection to a server that hangs. The endpoint list then says that the server drains, and
     * the request goes on to another one at once.
     */
    @Test
    void aDrainFreesRequestsThatWaitForAConnection() throws Exception {
        // A listener whose backlog is full: connections to it never come up.
        try (ServerSocket hanging = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket one = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                Socket two = new Socket(hanging.getInetAddress(), hanging.getLocalPort());
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            assertTrue(one.isConnected() && two.isConnected());
            String hangs = "s0=127.0.0.1:" + hanging.getLocalPort();
            harness.startWithList(NodeHarness.endpointList(1, true, hangs + "=Ready"));
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("t", "5000m"));
            // Once the answer to a later request is there, the order has been taken up and awaits its turn.
            assertEquals(
                    404,
                    harness.exchange(Http.pageRequest("/nothing", "u", "1m")).status());
            watch.write(NodeHarness.chunk(
                    NodeHarness.endpointList(2, false, hangs + "=Terminating", "s1=" + good.endpoint() + "=Ready")
                            + "\n"));
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
        }
    }

    /**
     * The event loop reads a request and the news that its server drains in the same turn. The server has been chosen
     * before the news is known; the request still goes to another server.
     */
    @Test
    void heedsADrainInTheTurnOfTheChoice() throws Exception {
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
    void opensNewConnectionsToAChangedAddress() throws Exception {
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
