package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.TransferLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses of unknown length that never end, or whose end comes long after the deadline. The client has to get an end
 * of its response in time, and a large response that is still arriving must not be cut off.
 */
class EndlessResponseTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNDELIMITED_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private static final long DEADLINE_MS = 200;

    /** How long after the deadline a response that is not complete counts as lost. */
    private static final long LOST_AFTER_MS = 500;

    /** How long after SIGTERM the platform kills a process whose longest deadline is 3 s or more. */
    private static final long KILLED_AFTER_MS = 3_700;

    /** Pause between two parts of an endless response. */
    private static final long DRIP_PERIOD_MS = 50;

    /** An endless response that is not large stops for good after this. */
    private static final int ENDLESS_BYTES = 60_000;

    /** The result of the first attempt. */
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();

    /** Counted down when the test is over, which ends the endless responses. */
    private final CountDownLatch testOver = new CountDownLatch(1);

    /**
     * Writes the head and these first bytes of a response, and then some bytes at a time. It never ends, and unless it
     * is large, it stops after {@link #ENDLESS_BYTES}.
     */
    private FakeServer.Script endlessResponse(boolean chunked, int firstBytes, int dripBytes) {
        return (request, connection) -> {
            connection.write(chunked ? CHUNKED_HEAD : UNDELIMITED_HEAD);
            int nextBytes = firstBytes;
            int writtenBytes = 0;
            do {
                if (firstBytes > TransferLimits.MAX_BUFFERED_BYTES || writtenBytes + nextBytes <= ENDLESS_BYTES) {
                    String part = "a".repeat(nextBytes);
                    connection.write(chunked ? NodeHarness.chunk(part) : part);
                    writtenBytes += nextBytes;
                }
                nextBytes = dripBytes;
            } while (!isTestOverWithin(DRIP_PERIOD_MS));
        };
    }

    private boolean isTestOverWithin(long millis) throws IOException {
        try {
            return testOver.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /**
     * Returns whether the attempt has ended when the response to a request that has just arrived counts as lost.
     */
    private CompletableFuture<Boolean> endsBeforeLoss(NodeHarness harness) {
        return endsWithin(harness, DEADLINE_MS + LOST_AFTER_MS);
    }

    /**
     * Returns whether the attempt ends within this time on the event loop of the node. The order of two timers of the
     * loop does not depend on the speed of the machine.
     */
    private CompletableFuture<Boolean> endsWithin(NodeHarness harness, long millis) {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        harness.loop.schedule(() -> ended.complete(result.isDone()), millis, TimeUnit.MILLISECONDS);
        return ended;
    }

    /** Returns a node that is not started yet and completes the result. */
    private NodeHarness observedNode() throws IOException {
        NodeHarness harness = NodeHarness.withSilentDiscovery();
        harness.observeOutcomes(outcome -> result.complete(outcome.result()));
        return harness;
    }

    /** Reads the rest of a response, which must be recognizable as truncated. */
    private static void assertTruncated(InputStream in, Http.Message head) {
        boolean chunked = head.headers().containsKey("transfer-encoding");
        assertThrows(IOException.class, () -> {
            if (chunked) {
                Http.readBody(in, head);
            } else {
                in.readAllBytes();
            }
        });
    }

    /** Sends a request and returns the head of its response, which has started. */
    private static Http.Message startResponse(Socket client, String request) throws IOException {
        NodeHarness.write(client, request);
        Http.Message head = Http.readHead(client.getInputStream());
        assertEquals(200, head.status());
        return head;
    }

    /** Returns a request that still lacks the last byte of its body after this one. */
    private static String orderWithOpenBody(String body) {
        return Http.orderRequest("t", DEADLINE_MS + "m")
                .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + (body.length() + 1) + "\r\n\r\n" + body);
    }

    /**
     * Guards against a client that waits past its time: a server that never ends a response of unknown length, whatever
     * its pace, must not keep the node from ending it. The client must be able to tell that it is truncated.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 5, 4, HTTP/1.1",
        "true, 40000, 4, HTTP/1.1",
        "false, 5, 4, HTTP/1.1",
        "false, 5, 4, HTTP/1.0",
        "true, 40000, 4, HTTP/1.0",
        "true, 5, 1700, HTTP/1.1",
        "true, 10000, 1700, HTTP/1.1",
        "false, 40000, 800, HTTP/1.1"
    })
    void endlessResponseOfUnknownLengthIsAbortedBeforeItIsLost(
            boolean chunked, int firstBytes, int dripBytes, String version) throws Exception {
        try (FakeServer server = new FakeServer(endlessResponse(chunked, firstBytes, dripBytes));
                NodeHarness harness = observedNode()) {
            harness.start(server);
            Socket client = harness.connect();
            Http.Message head = startResponse(
                    client, Http.pageRequest("/api/p", "t", DEADLINE_MS + "m").replace("HTTP/1.1", version));
            CompletableFuture<Boolean> endedInTime = endsBeforeLoss(harness);
            assertTruncated(client.getInputStream(), head);
            assertTrue(endedInTime.get(20, TimeUnit.SECONDS), "the response was still open when it counted as lost");
            assertEquals(AttemptResult.TIMEOUT, result.get());
            FakeServer.awaitNext(server.closedConnections);
        } finally {
            testOver.countDown();
        }
    }

    /**
     * Guards against a request without a deadline: a response that never ends starts before the client has sent the
     * whole body. The deadline counts from the last byte that the client sends.
     */
    @Test
    void endlessResponseThatStartsDuringTheBodyIsAbortedBeforeItIsLost() throws Exception {
        String body = "a".repeat(TransferLimits.MAX_BUFFERED_BYTES + 1);
        try (EarlyResponseServer server = new EarlyResponseServer(CHUNKED_HEAD + NodeHarness.chunk("first"));
                NodeHarness harness = observedNode()) {
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket client = harness.connect();
            Http.Message head = startResponse(client, orderWithOpenBody(body));
            NodeHarness.write(client, "z");
            harness.awaitEventLoop();
            CompletableFuture<Boolean> endedInTime = endsBeforeLoss(harness);
            assertTruncated(client.getInputStream(), head);
            assertTrue(endedInTime.get(20, TimeUnit.SECONDS), "the response was still open when it counted as lost");
            assertEquals(AttemptResult.TIMEOUT, result.get());
        }
    }

    /** Reads the head of a request, starts a response of unknown length, and ends it once the latch is counted down. */
    private static void respondEarly(ServerSocket listener, CountDownLatch restAllowed) {
        try (Socket connection = listener.accept()) {
            Http.readHead(connection.getInputStream());
            NodeHarness.write(connection, CHUNKED_HEAD + NodeHarness.chunk("first"));
            FakeServer.awaitLatch(restAllowed);
            NodeHarness.write(connection, NodeHarness.chunk("last") + "0\r\n\r\n");
            connection.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The node has closed the connection, which the response shows.
        }
    }

    /**
     * Guards against cutting off a response whose client's time has not begun: a server that reads nothing of a large
     * body, so that the node stops reading it too, starts to respond, and the client sends the rest of the body later.
     */
    @Test
    void responseThatStartsDuringABlockedBodyIsTimedFromTheEndOfTheBody() throws Exception {
        int sentBytes = 400_000;
        String rest = "z".repeat(100_000);
        CountDownLatch restAllowed = new CountDownLatch(1);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                NodeHarness harness = observedNode()) {
            Thread server = new Thread(() -> respondEarly(listener, restAllowed));
            server.setDaemon(true);
            server.start();
            String endpoint = "127.0.0.1:" + listener.getLocalPort();
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + endpoint + "=Ready"));
            Socket client = harness.connect();
            Http.Message head = startResponse(
                    client,
                    Http.orderRequest("t", DEADLINE_MS + "m")
                            .replace(
                                    "Content-Length: 2\r\n\r\nab",
                                    "Content-Length: " + (sentBytes + rest.length()) + "\r\n\r\n"
                                            + "a".repeat(sentBytes)));
            harness.loop
                    .schedule(() -> {}, 2 * (DEADLINE_MS + LOST_AFTER_MS), TimeUnit.MILLISECONDS)
                    .sync();
            NodeHarness.write(client, rest);
            restAllowed.countDown();
            assertEquals(
                    "firstlast", new String(Http.readBody(client.getInputStream(), head), StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against cutting off a large response of known length that starts before the client has sent the whole
     * body. The end of the body starts the deadline, which must not apply to a response that has started.
     */
    @Test
    void largeResponseThatStartsDuringTheBodyIsCompletedAfterItsDeadline() throws Exception {
        String body = "a".repeat(TransferLimits.MAX_BUFFERED_BYTES + 1);
        // More than the buffers on its way hold, so that it is not complete before the client reads it.
        String response = "b".repeat(16 << 20);
        try (EarlyResponseServer server = new EarlyResponseServer(Http.okResponse(response));
                NodeHarness harness = observedNode()) {
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket client = harness.connect();
            Http.Message head = startResponse(client, orderWithOpenBody(body));
            NodeHarness.write(client, "z");
            harness.awaitEventLoop();
            CompletableFuture<Boolean> ended = endsBeforeLoss(harness);
            assertFalse(ended.get(20, TimeUnit.SECONDS), "the response was not open when its deadline passed");
            assertEquals(response.length(), Http.readBody(client.getInputStream(), head).length);
        }
    }

    /**
     * Guards against a connection to a server that is never free again. The client of an endless response leaves, and
     * the settings do not allow to cancel attempts. A large response has no deadline for its end, so the node must stop
     * reading it.
     */
    @Test
    void endlessLargeResponseEndsWithItsClientWhereAttemptsAreNotCancelled() throws Exception {
        try (FakeServer server = new FakeServer(endlessResponse(true, 2 * TransferLimits.MAX_BUFFERED_BYTES, 4));
                NodeHarness harness = observedNode()) {
            harness.settings.cancellation = false;
            harness.start(server);
            Socket client = harness.connect();
            startResponse(client, Http.pageRequest("/api/p", "t", "15000m"));
            client.close();
            FakeServer.awaitNext(server.closedConnections);
        } finally {
            testOver.countDown();
        }
    }

    /**
     * Guards against a request that SIGKILL finds without a final response. The platform kills the process {@value
     * #KILLED_AFTER_MS} ms after SIGTERM, and a response that never ends has started long before its deadline.
     */
    @Test
    void endlessResponseIsAbortedBeforeTheProcessIsKilled() throws Exception {
        try (FakeServer server = new FakeServer(endlessResponse(true, 5, 4));
                NodeHarness harness = observedNode()) {
            harness.start(server);
            Socket client = harness.connect();
            Http.Message head = startResponse(client, Http.orderRequest("t", "60000m"));
            harness.drain();
            CountDownLatch killed = new CountDownLatch(1);
            harness.loop.schedule(killed::countDown, KILLED_AFTER_MS, TimeUnit.MILLISECONDS);
            assertTruncated(client.getInputStream(), head);
            assertEquals(1, killed.getCount(), "the response was still open at SIGKILL");
        } finally {
            testOver.countDown();
        }
    }

    /**
     * Guards against cutting off a large response, of which only the first bytes are due by the deadline. It has no
     * length, is large by its deadline, and then brings a few bytes at a time.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void slowLargeResponseOfUnknownLengthIsCompleted(boolean chunked) throws Exception {
        CountDownLatch deadlinePassed = new CountDownLatch(1);
        CountDownLatch lossPassed = new CountDownLatch(1);
        String[] parts = {"a".repeat(70_000), "b".repeat(20), "c".repeat(50_000)};
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write(chunked ? CHUNKED_HEAD : UNDELIMITED_HEAD);
                    connection.write(chunked ? NodeHarness.chunk(parts[0]) : parts[0]);
                    FakeServer.awaitLatch(deadlinePassed);
                    connection.write(chunked ? NodeHarness.chunk(parts[1]) : parts[1]);
                    FakeServer.awaitLatch(lossPassed);
                    connection.write(chunked ? NodeHarness.chunk(parts[2]) + "0\r\n\r\n" : parts[2]);
                    connection.socket().shutdownOutput();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            Http.Message head = startResponse(client, Http.pageRequest("/api/p", "t", DEADLINE_MS + "m"));
            harness.loop.schedule(deadlinePassed::countDown, DEADLINE_MS, TimeUnit.MILLISECONDS);
            harness.loop.schedule(lossPassed::countDown, DEADLINE_MS + LOST_AFTER_MS, TimeUnit.MILLISECONDS);
            String body = new String(Http.readBody(client.getInputStream(), head), StandardCharsets.US_ASCII);
            assertEquals(String.join("", parts), body);
        }
    }

    /**
     * Guards against cutting off a large response that cannot be told from a small one at its deadline: the decision is
     * made later, by what has come until then.
     */
    @Test
    void responseThatIsNotLargeByItsDeadlineIsCompleted() throws Exception {
        CountDownLatch deadlinePassed = new CountDownLatch(1);
        String[] parts = {"a".repeat(60_000), "b".repeat(60_000)};
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write(CHUNKED_HEAD + NodeHarness.chunk(parts[0]));
                    FakeServer.awaitLatch(deadlinePassed);
                    connection.write(NodeHarness.chunk(parts[1]) + "0\r\n\r\n");
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            Http.Message head = startResponse(client, Http.pageRequest("/api/p", "t", DEADLINE_MS + "m"));
            harness.loop.schedule(deadlinePassed::countDown, DEADLINE_MS, TimeUnit.MILLISECONDS);
            assertEquals(
                    String.join("", parts),
                    new String(Http.readBody(client.getInputStream(), head), StandardCharsets.US_ASCII));
        }
    }

    /**
     * Guards against losing the requests behind a response that never ends: it must not be begun, as only the end of
     * the connection could end it. Each request must get a whole response.
     */
    @Test
    void requestBehindAnEndlessResponseIsServed() throws Exception {
        FakeServer.Script endless = endlessResponse(true, 5, 4);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if ("endless".equals(request.headers().get("x-txn"))) {
                        endless.respond(request, connection);
                    } else {
                        connection.write(Http.okResponse("served"));
                    }
                });
                NodeHarness harness = observedNode()) {
            harness.start(server);
            Socket client = harness.connect();
            NodeHarness.write(
                    client,
                    Http.pageRequest("/api/p", "endless", DEADLINE_MS + "m")
                            + Http.pageRequest("/api/p", "behind", "15000m"));
            FakeServer.awaitNext(server.requests);
            CompletableFuture<Boolean> endedInTime = endsBeforeLoss(harness);
            assertEquals(503, Http.readMessage(client.getInputStream()).status());
            assertTrue(endedInTime.get(20, TimeUnit.SECONDS), "the response was still open when it counted as lost");
            assertEquals("served", Http.readMessage(client.getInputStream()).body());
        } finally {
            testOver.countDown();
        }
    }
}
