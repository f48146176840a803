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

/** Bodies and answers that flow, and all the forms in which HTTP/1.1 has them. */
class LargeBodyTest {
    private static final int LARGE = 300_000;

    /** Text of this length that is all different. */
    private static String text(int length) {
        SplittableRandom random = new SplittableRandom(length);
        StringBuilder text = new StringBuilder(length);
        while (text.length() < length) {
            text.append((char) ('a' + random.nextInt(26)));
        }
        return text.toString();
    }

    /** In chunks of a prime length, with extensions and a trailer. */
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

    /** In pieces that are cut anywhere. */
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
    void returnsResponsesUnchangedHoweverTheyAreFramed(int length) throws Exception {
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
                Http.Message answer = NodeHarness.exchange(client, Http.pageRequest("/api/x", txn, "5000m"));
                assertEquals(200, answer.status());
                assertEquals(body, answer.body());
            }
        }
    }

    @Test
    void answersExpectContinueAndRejectsOtherExpectations() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, order("t", "Expect: 100-continue\r\nContent-Length: 5", ""));
            assertEquals(100, Http.readMessage(client.getInputStream()).status());
            assertEquals(200, NodeHarness.exchange(client, "hello").status());
            assertEquals("hello", FakeServer.awaitNext(server.requests).body());
            String odd = order("t", "Expect: miracles\r\nContent-Length: 5", "");
            assertEquals(417, NodeHarness.exchange(client, odd).status());
        }
    }

    @Test
    void answersRequestsPipelinedBehindALargeOneInOrder() throws Exception {
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
            for (String answer : new String[] {"a" + LARGE, "b0", "c" + LARGE, "d2"}) {
                assertEquals(answer, Http.readMessage(client.getInputStream()).body());
            }
        }
    }

    /**
     * A request has two lengths, a length and chunks, or a coding that the node can't pass on. Node and server could
     * disagree on where it ends and where the next one begins, so the node rejects it and closes.
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
    void rejectsAmbiguousFramingWith400WithoutAServer(String framing) throws Exception {
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
     * A streamed body breaks off in the middle of its chunks. The server must not take what it has for the complete
     * body, so the node closes the connection to it.
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
     * A client leaves while it sends a large body, and another while it receives a large response. In both cases the
     * node closes the connection to the server, which would else work for nobody.
     */
    @Test
    void closesTheServersConnectionWhenAClientLeavesAmidAStream() throws Exception {
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
            assertTrue(server.requests.isEmpty(), "never whole");
            Socket reader = harness.connect();
            NodeHarness.write(reader, Http.pageRequest("/api/x", "u", "5000m"));
            assertEquals(200, Http.readHead(reader.getInputStream()).status());
            reader.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    /**
     * A server resets the connection after the node has begun to stream its response. The client has part of it, so
     * there is no retry; the client's connection ends such that it can't take the response for complete.
     */
    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks", "end"})
    void resetsAStreamedResponseThatBreaksWithoutARetry(String framing) throws Exception {
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
                    throw new IOException("cut short");
                }
            });
            harness.awaitMetric("node_handled{category=\"page\",outcome=\"bad_gateway\"} 1");
            harness.awaitMetric("node_upstream_tries 1");
            assertEquals(1, server.requests.size());
        }
    }

    /**
     * A server resets the connection amid a small response. The node has buffered it and the client has seen nothing,
     * so another server's response takes its place.
     */
    @Test
    void retriesWhereABufferedResponseBreaks() throws Exception {
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
        CountDownLatch seen = new CountDownLatch(1);
        String body = text(LARGE);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    String answer = Http.okResponse(body);
                    peer.write(answer.substring(0, 100));
                    try {
                        assertTrue(seen.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(answer.substring(100));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            // Its time runs out while it flows: what has begun goes on all the same.
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "300m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(body.charAt(0), client.getInputStream().read());
            seen.countDown();
            assertEquals(LARGE, Integer.parseInt(head.headers().get("content-length")));
            assertEquals(
                    body.substring(1),
                    new String(client.getInputStream().readNBytes(LARGE - 1), StandardCharsets.UTF_8));
        }
    }

    @Test
    void streamsASlowResponseOfUnknownLength() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk("first"));
                    try {
                        assertTrue(seen.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(NodeHarness.chunk("last") + "0\r\n\r\n");
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/x", "t", "5000m"));
            Http.Message head = Http.readHead(client.getInputStream());
            seen.countDown();
            assertEquals("firstlast", new String(Http.readBody(client.getInputStream(), head), StandardCharsets.UTF_8));
            assertEquals(
                    200,
                    NodeHarness.exchange(client, Http.pageRequest("/api/x", "u", "5000m"))
                            .status(),
                    "and goes on");
        }
    }

    /**
     * One of two servers refuses connections. An attempt that had no connection has taken nothing of the body, so the
     * body goes to the other server from its start.
     */
    @Test
    void replaysALargeBodyToAnotherServerFromItsStart() throws Exception {
        String body = text(LARGE);
        try (FakeServer dead = FakeServer.respondingWith("x");
                FakeServer good = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            dead.stop();
            harness.start(dead, good);
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
     * A server responds with an error before it has read the body. The client gets the final response at once, the
     * rest of its body is read and dropped, and its connection serves the next request.
     */
    @Test
    void returnsAResponseThatArrivesAmidTheBody() throws Exception {
        String body = text(LARGE);
        try (EarlyResponseServer server = new EarlyResponseServer(Http.response("500 No", "", ""));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket client = harness.connect();
            NodeHarness.write(client, order("t", "Content-Length: " + (LARGE + 1), body));
            Http.Message answer = Http.readMessage(client.getInputStream());
            assertEquals(502, answer.status());
            // The rest of the body is read, and the connection carries the next request.
            NodeHarness.write(client, "z");
            assertEquals(
                    404,
                    NodeHarness.exchange(client, Http.pageRequest("/nothing", "u", "1m"))
                            .status());
        }
    }
}
