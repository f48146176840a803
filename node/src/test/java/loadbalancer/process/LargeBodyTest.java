package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streamed request bodies and responses, in all framings of HTTP/1.1. */
class LargeBodyTest {
    private static final int LARGE = 300_000;
    private static final long DEADLINE_MS = 300;

    /** Returns pseudo-random text of this length. */
    private static String text(int length) {
        SplittableRandom random = new SplittableRandom(length);
        StringBuilder text = new StringBuilder(length);
        while (text.length() < length) {
            text.append((char) ('a' + random.nextInt(26)));
        }
        return text.toString();
    }

    /** Formats text in chunks of a prime length, with chunk extensions and a trailer. */
    private static String chunks(String text) {
        StringBuilder chunks = new StringBuilder();
        for (int i = 0; i < text.length(); i += 7_919) {
            String chunk = text.substring(i, Math.min(text.length(), i + 7_919));
            chunks.append(Integer.toHexString(chunk.length()))
                    .append(";a=\"b\"\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return chunks + "0\r\nX-Trailer: x\r\n\r\n";
    }

    private static String order(String txn, String framing, String body) {
        return Http.orderRequest(txn, "5000m").replace("Content-Length: 2\r\n\r\nab", framing + "\r\n\r\n" + body);
    }

    /** Writes text in pieces of random length. */
    private static void writeInPieces(Socket to, String text) throws IOException {
        SplittableRandom random = new SplittableRandom(text.length());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; ) {
            int piece = Math.min(bytes.length - at, 1 + random.nextInt(at < 600 ? 20 : 9_000));
            to.getOutputStream().write(bytes, at, piece);
            at += piece;
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536, 65_537, LARGE})
    void forwardsBodiesUnchangedWithLengthsAndInChunks(int length) throws Exception {
        String body = text(length);
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (String framed : new String[] {
                order("l", "Content-Length: " + length, body), order("c", "Transfer-Encoding: chunked", chunks(body))
            }) {
                writeInPieces(client, framed);
                assertEquals(200, Http.readMessage(client.getInputStream()).status());
                assertEquals(body, FakeServer.awaitNext(server.requests).body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536, 65_537, LARGE})
    void returnsResponsesUnchangedInEveryFraming(int length) throws Exception {
        String body = text(length);
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        try (FakeServer server = new FakeServer((request, peer) -> {
                    switch (request.headers().get("x-txn")) {
                        case "length" -> writeInPieces(peer.socket(), interim + Http.okResponse(body));
                        case "chunks" ->
                            writeInPieces(
                                    peer.socket(),
                                    interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body));
                        default -> {
                            writeInPieces(peer.socket(), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                            peer.socket().shutdownOutput();
                        }
                    }
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (String txn : new String[] {"length", "chunks", "end", "length"}) {
                Http.Message response = NodeHarness.exchange(client, Http.pageRequest("/api/x", txn, "5000m"));
                assertEquals(200, response.status());
                assertEquals(body, response.body());
            }
        }
    }

    @Test
    void respondsToExpectContinueAndRejectsOtherExpectations() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, order("t", "Expect: 100-continue\r\nContent-Length: 5", ""));
            assertEquals(100, Http.readMessage(client.getInputStream()).status());
            assertEquals(200, NodeHarness.exchange(client, "hello").status());
            assertEquals("hello", FakeServer.awaitNext(server.requests).body());
            String unsupported = order("t", "Expect: miracles\r\nContent-Length: 5", "");
            assertEquals(417, NodeHarness.exchange(client, unsupported).status());
        }
    }

    @Test
    void respondsInOrderToRequestsPipelinedBehindALargeOne() throws Exception {
        String body = text(LARGE);
        try (FakeServer server = new FakeServer((request, peer) -> peer.write(Http.okResponse(
                        request.headers().get("x-txn") + request.body().length())));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(
                    client,
                    order("a", "Content-Length: " + LARGE, body)
                            + Http.pageRequest("/api/x", "b", "5000m")
                            + order("c", "Transfer-Encoding: chunked", chunks(body))
                            + Http.orderRequest("d", "5000m"));
            for (String response : new String[] {"a" + LARGE, "b0", "c" + LARGE, "d2"}) {
                assertEquals(response, Http.readMessage(client.getInputStream()).body());
            }
        }
    }

    /**
     * Guards against request smuggling. With two lengths, a length and chunks, or a transfer coding that the node
     * cannot pass on, node and server could disagree on where the request ends. The node must reject it and close the
     * connection.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nContent-Length: 3",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: gzip",
                "Content-Length: two",
                "Content-Length: -2",
            })
    void rejectsAmbiguousFramingWith400WithoutContactingAServer(String framing) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    400,
                    NodeHarness.exchange(client, order("t", framing, "0\r\n\r\n"))
                            .status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, server.connectionCount.get());
        }
    }

    /**
     * Guards against a server that takes a truncated body for complete. The framing of a streamed body is invalid in
     * the middle of its chunks. The node must close the connection to the server.
     */
    @Test
    void neverCompletesABodyWhoseFramingBreaks() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            String whole = chunks(text(LARGE));
            assertEquals(
                    400,
                    harness.exchange(order(
                                    "t",
                                    "Transfer-Encoding: chunked",
                                    whole.substring(0, whole.indexOf("0\r\nX-Trailer")) + "no chunk\r\n"))
                            .status());
            FakeServer.awaitNext(server.closedConnections);
            assertTrue(server.requests.isEmpty());
            assertEquals(200, harness.exchange(Http.pageRequest("next")).status());
        }
    }

    /**
     * Guards against servers that work for clients that are gone. One client disconnects while it sends a large body,
     * another one while it receives a large response. The node must close the connection to the server.
     */
    @Test
    void closesTheServerConnectionWhenAClientDisconnectsDuringAStream() throws Exception {
        String body = text(8_000_000);
        try (FakeServer server = FakeServer.respondingWith(body);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket sender = harness.connect();
            NodeHarness.write(sender, order("t", "Content-Length: " + LARGE, body.substring(0, LARGE - 1)));
            while (server.connectionCount.get() == 0) {
                Thread.onSpinWait();
            }
            sender.close();
            FakeServer.awaitNext(server.closedConnections);
            assertTrue(server.requests.isEmpty(), "the server got a complete request");
            Socket reader = harness.connect();
            NodeHarness.write(reader, Http.pageRequest("/api/x", "u", "5000m"));
            assertEquals(200, Http.readHead(reader.getInputStream()).status());
            reader.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    /**
     * Guards against a client that takes a truncated response for complete. The server resets the connection after the
     * node has begun to stream its response. The client has part of it, so the node must not retry, and must end the
     * client's connection such that the response is visibly incomplete.
     */
    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks", "end"})
    void abortsAStreamedResponseThatBreaksWithoutARetry(String framing) throws Exception {
        String part = text(LARGE);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\n"
                            + switch (framing) {
                                case "length" -> "Content-Length: " + (LARGE + 1) + "\r\n\r\n" + part;
                                case "chunks" -> "Transfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(part);
                                default -> "Connection: close\r\n\r\n" + part;
                            });
                    peer.reset();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start(server, server);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "5000m"));
            assertThrows(IOException.class, () -> {
                if (Http.readMessage(client.getInputStream()).body().length() < LARGE) {
                    throw new IOException("truncated body");
                }
            });
            harness.awaitMetric("node_handled{category=\"page\",outcome=\"bad_gateway\"} 1");
            harness.awaitMetric("node_upstream_tries 1");
            assertEquals(1, server.requests.size());
        }
    }

    /**
     * Guards against failing a request that can be retried. A server resets the connection in the middle of a small
     * response. The node buffers such a response, so the client has received nothing, and the node must retry on
     * another server.
     */
    @Test
    void retriesWhenABufferedResponseBreaks() throws Exception {
        try (FakeServer bad = new FakeServer((request, peer) -> {
                    peer.write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(text(60_000)));
                    peer.reset();
                });
                FakeServer good = FakeServer.respondingWith("good");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(bad, good)) {
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        "good",
                        harness.exchange(Http.pageRequest("/api/x", "t" + i, "5000m"))
                                .body());
            }
            assertFalse(bad.requests.isEmpty());
        }
    }

    @Test
    void streamsALargeResponseFromItsFirstBytes() throws Exception {
        CountDownLatch firstBytesReceived = new CountDownLatch(1);
        String body = text(LARGE);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    String response = Http.okResponse(body);
                    peer.write(response.substring(0, 100));
                    try {
                        assertTrue(firstBytesReceived.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(response.substring(100));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", DEADLINE_MS + "m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(body.charAt(0), client.getInputStream().read());
            // The rest follows once the deadline has passed. A response that has started goes on.
            harness.loop.schedule(firstBytesReceived::countDown, DEADLINE_MS, TimeUnit.MILLISECONDS);
            assertEquals(LARGE, Integer.parseInt(head.headers().get("content-length")));
            assertEquals(
                    body.substring(1),
                    new String(client.getInputStream().readNBytes(LARGE - 1), StandardCharsets.UTF_8));
        }
    }

    /** Guards against holding back a slow response of unknown length, which may be large: its first bytes are timed. */
    @ParameterizedTest
    @ValueSource(ints = {5, LARGE})
    void streamsASlowResponseOfUnknownLength(int firstBytes) throws Exception {
        String first = text(firstBytes);
        CountDownLatch restAllowed = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(first));
                    FakeServer.awaitLatch(restAllowed);
                    peer.write(NodeHarness.chunk("last") + "0\r\n\r\n");
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "5000m"));
            Http.Message head = Http.readHead(client.getInputStream());
            restAllowed.countDown();
            assertEquals(200, head.status());
            assertEquals(
                    first + "last", new String(Http.readBody(client.getInputStream(), head), StandardCharsets.UTF_8));
            assertEquals(
                    200,
                    NodeHarness.exchange(client, Http.pageRequest("/api/x", "u", "5000m"))
                            .status(),
                    "the connection serves the next request");
        }
    }

    /**
     * Guards against a retry with a truncated body. One of two servers refuses connections. An attempt without a
     * connection has taken nothing of the body, so the other server must get the body from its start.
     */
    @Test
    void replaysALargeBodyToAnotherServerFromItsStart() throws Exception {
        String body = text(LARGE);
        try (FakeServer stopped = FakeServer.respondingWith("x");
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            stopped.stop();
            harness.start(stopped, good);
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        200,
                        harness.exchange(order("t" + i, "Content-Length: " + LARGE, body))
                                .status());
                assertEquals(body, FakeServer.awaitNext(good.requests).body());
            }
        }
    }

    /**
     * Guards against withholding a response until the whole body has arrived. A server responds with an error before it
     * has read the body. The client must get the response at once, and its connection must serve the next request.
     */
    @Test
    void returnsAResponseThatArrivesDuringTheBody() throws Exception {
        String body = text(LARGE);
        try (EarlyResponseServer server = new EarlyResponseServer(Http.response("500 No", "", ""));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket client = harness.connect();
            NodeHarness.write(client, order("t", "Content-Length: " + (LARGE + 1), body));
            Http.Message response = Http.readMessage(client.getInputStream());
            assertEquals(502, response.status());
            // The node reads and drops the rest of the body, and serves the next request on the connection.
            NodeHarness.write(client, "z");
            assertEquals(
                    404,
                    NodeHarness.exchange(client, Http.pageRequest("/nothing", "u", "1m"))
                            .status());
        }
    }
}
