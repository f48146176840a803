package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that are open at SIGTERM. The expected results are in {@code docs/acceptance.md}. */
class GracefulShutdownTest {
    private static final String ORDER = Http.orderRequest("t", "15000m");
    private static final String PAGE = Http.pageRequest("/api/p", "t", "15000m");
    private static final byte[] LARGE_BODY = new byte[1_000_000];
    /** After this time, the platform counts each request that SIGKILL finds without a whole response as lost. */
    private static final long MUST_BE_ANSWERED_AFTER_MS = 700;

    private static final String PIPELINED = Http.pageRequest("a") + Http.pageRequest("b");

    /**
     * Guards against dropping a request that has partly arrived at SIGTERM: a part of its request line, of a header
     * field, or all but the last byte of its body. The client sends the rest, as it cannot know that the node shuts
     * down, and must get a response.
     */
    @ParameterizedTest
    @CsvSource({"0, 10", "0, 40", "1, 10", "1, 70", "0, 1"})
    void requestPartlyReadAtSigtermIsServedOnceItIsComplete(int previousRequests, int cut) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (int i = 0; i < previousRequests; i++) {
                assertEquals(
                        200, NodeHarness.exchange(client, Http.pageRequest("b")).status());
            }
            int at = cut == 1 ? ORDER.length() - 1 : cut;
            NodeHarness.write(client, ORDER.substring(0, at));
            harness.awaitEventLoop();
            CountDownLatch drained = drainPastIdleClose(harness);
            NodeHarness.write(client, ORDER.substring(at));
            assertLastResponse(client, "x", drained);
            assertEquals(previousRequests + 1, server.requests.size());
        }
    }

    /**
     * Guards against failing a request that waits at SIGTERM because no server is known. A server that is announced
     * afterwards must get it.
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
     * Guards against failing a request whose server resets the connection after SIGTERM. The node must retry it on
     * another server while it drains.
     */
    @Test
    void requestThatIsRetriedAfterSigtermIsServed() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        try (FakeServer first = FakeServer.resettingWhen(draining);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(first)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.awaitNext(first.requests);
            CountDownLatch drained = drainPastIdleClose(harness);
            harness.announceServer("s1", second);
            draining.countDown();
            assertLastResponse(client, "x", drained);
        }
    }

    /**
     * Guards against truncating a response. SIGTERM arrives in the middle of a large response, and the rest must still
     * reach the client.
     */
    @Test
    void responseInTransferAtSigtermIsCompleted() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        String half = "a".repeat(100_000);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
                    FakeServer.awaitLatch(draining);
                    connection.write(half);
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(200, head.status());
            // The head was sent before SIGTERM, without Connection: close, so the client closes the connection.
            CountDownLatch drained = drainPastIdleClose(harness);
            draining.countDown();
            assertEquals(200_000, Http.readBody(client.getInputStream(), head).length);
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against losing pipelined requests. SIGTERM arrives while a client has two requests pipelined. Both must
     * get a response, and only the last one may have Connection: close, because a client drops the requests behind a
     * response with it.
     */
    @Test
    void drainServesPipelinedRequestsAndClosesAfterTheLastResponse() throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(responseAllowed);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            FakeServer.awaitNext(server.requests);
            harness.awaitEventLoop();
            CountDownLatch drained = harness.drain();
            responseAllowed.countDown();
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
     * Guards against running a request twice. The node closes its side of an idle connection while a request is on its
     * way, and the client retries the request elsewhere. The node must not forward it. It must not reset the connection
     * either, which could destroy a response that is still on its way.
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
            assertEquals(1, drained.getCount(), "drained although the client has not closed its side");
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against a reset that overtakes the last response on a connection. The response is the last one because of
     * SIGTERM or because the client asked for it, and the client keeps sending. The node must read and drop these
     * bytes.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bytesBehindTheLastResponseAreReadAndDropped(boolean draining) throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(responseAllowed);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            String last = Http.pageRequest("/api/page", "a", "5000m");
            NodeHarness.write(client, draining ? last : last.replace("X-Org", "Connection: close\r\nX-Org"));
            FakeServer.awaitNext(server.requests);
            if (draining) {
                harness.drain();
            }
            responseAllowed.countDown();
            assertEquals("a", Http.readMessage(client.getInputStream()).body());
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(harness, client);
            assertTrue(server.requests.isEmpty());
        }
    }

    /**
     * Guards against a client that delays the drain until the process is killed: the node has closed its side of the
     * connection, and the client never closes its own.
     */
    @Test
    void clientThatNeverClosesItsSideDoesNotDelayTheDrain() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            CountDownLatch drained = harness.drain();
            assertEquals(-1, client.getInputStream().read());
            assertTrue(drained.await(20, TimeUnit.SECONDS), "not drained although the client never closes its side");
        }
    }

    /**
     * Guards against a reset at SIGKILL, which does not tell the client whether its order may have been carried out.
     * The server never responds, the deadline of the request is a minute away, and the platform kills the process 3.7 s
     * after SIGTERM. The client must get a response before that.
     */
    @Test
    void requestInFlightGetsAResponseBeforeTheProcessIsKilled() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> FakeServer.awaitLatch(never));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("out", "60000m"));
            FakeServer.awaitNext(server.requests);
            CountDownLatch drained = harness.drain();
            Http.Message response = Http.readMessage(client.getInputStream());
            assertEquals(502, response.status());
            assertEquals("close", response.headers().get("connection"));
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
            never.countDown();
        }
    }

    /**
     * Guards against a request that SIGKILL cuts off: a process that is being replaced took requests on idle
     * connections until shortly before its end and started responses that had no time to end. It must close them while
     * such a request may still be cut off.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void idleConnectionIsClosedBeforeItsRequestsMustBeAnsweredInFull(boolean handsOver) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.handsOverListener = handsOver;
            harness.start(server);
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            harness.drain();
            CountDownLatch tooLate = new CountDownLatch(1);
            harness.loop.schedule(tooLate::countDown, MUST_BE_ANSWERED_AFTER_MS, TimeUnit.MILLISECONDS);
            assertEquals(-1, client.getInputStream().read());
            assertEquals(1, tooLate.getCount(), "the idle connection was still open");
        }
    }

    /**
     * Guards against a drain that is late by the time that the process needs to leave the membership: the platform
     * counts from the signal.
     */
    @Test
    void timesOfTheDrainCountFromTheSignal() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> FakeServer.awaitLatch(never));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("out", "60000m"));
            FakeServer.awaitNext(server.requests);
            long signalledAtNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(2);
            harness.node.drain(signalledAtNanos, () -> {});
            CountDownLatch killed = new CountDownLatch(1);
            harness.loop.schedule(killed::countDown, 3_700 - 2_000, TimeUnit.MILLISECONDS);
            assertEquals(502, Http.readMessage(client.getInputStream()).status());
            assertEquals(1, killed.getCount(), "no response before SIGKILL");
            never.countDown();
        }
    }

    /**
     * Guards against a response that SIGKILL cuts off, to a request that the client completes so late that it has to be
     * answered in full. The node cannot know how long a large response takes, so it must not start one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void largeResponseIsNotStartedWhenItMayOutlastTheProcess(boolean chunked) throws Exception {
        String body = new String(LARGE_BODY, StandardCharsets.US_ASCII);
        String response = chunked
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(body) + "0\r\n\r\n"
                : Http.okResponse(body);
        try (FakeServer server = new FakeServer((request, connection) -> connection.write(response));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER.substring(0, ORDER.length() - 1));
            harness.awaitEventLoop();
            CountDownLatch drained = drainPastIdleClose(harness);
            NodeHarness.write(client, ORDER.substring(ORDER.length() - 1));
            Http.Message rejection = Http.readMessage(client.getInputStream());
            assertEquals(502, rejection.status());
            assertEquals("close", rejection.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /** Reads a request of this length at 500 kB a second, and starts a large response to it. */
    private static void respondAfterSlowRead(ServerSocket listener, int bodyBytes) {
        try (Socket connection = listener.accept()) {
            Http.readHead(connection.getInputStream());
            for (int read = 0; read < bodyBytes; read += 10_000) {
                connection.getInputStream().readNBytes(10_000);
                Thread.sleep(20);
            }
            NodeHarness.write(connection, Http.okResponse(new String(LARGE_BODY, StandardCharsets.US_ASCII)));
            connection.getInputStream().readAllBytes();
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection, which the response shows.
        }
    }

    /**
     * Guards against cutting off a large response to a request that was written before SIGTERM, but read long after it,
     * as its server reads slowly: SIGKILL may cut off such a response, the node must not.
     */
    @Test
    void largeResponseIsStartedToARequestWrittenBeforeSigtermAndReadLater() throws Exception {
        int bodyBytes = 800_000;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Thread server = new Thread(() -> respondAfterSlowRead(listener, bodyBytes));
            server.setDaemon(true);
            server.start();
            String endpoint = "127.0.0.1:" + listener.getLocalPort();
            harness.startWithList(NodeHarness.endpointList(1, true, "s0=" + endpoint + "=Ready"));
            Socket client = harness.connect();
            NodeHarness.write(
                    client,
                    ORDER.replace(
                            "Content-Length: 2\r\n\r\nab",
                            "Content-Length: " + bodyBytes + "\r\n\r\n" + "a".repeat(bodyBytes)));
            harness.drain();
            Http.Message response = Http.readMessage(client.getInputStream());
            assertEquals(200, response.status());
            assertEquals(LARGE_BODY.length, response.body().length());
        }
    }

    /**
     * Guards against requests that a node takes until it is killed: a response that started before SIGTERM, without
     * Connection: close, ends after the idle connections are closed. Its connection must be closed then.
     */
    @Test
    void connectionIsClosedAfterAResponseThatStartedBeforeSigterm() throws Exception {
        CountDownLatch draining = new CountDownLatch(1);
        String half = "a".repeat(100_000);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
                    FakeServer.awaitLatch(draining);
                    connection.write(half);
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            Http.Message head = Http.readHead(client.getInputStream());
            CountDownLatch drained = drainPastIdleClose(harness);
            draining.countDown();
            assertEquals(200_000, Http.readBody(client.getInputStream(), head).length);
            client.setSoTimeout(5_000);
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertTrue(drained.await(20, TimeUnit.SECONDS));
        }
    }

    /** Drains the node and waits until it has closed its idle connections. */
    private static CountDownLatch drainPastIdleClose(NodeHarness harness) throws Exception {
        Socket idle = harness.connect();
        assertEquals(
                404,
                NodeHarness.exchange(idle, Http.pageRequest("/nothing", "u", "1m"))
                        .status());
        CountDownLatch drained = new CountDownLatch(1);
        harness.node.drain(System.nanoTime(), drained::countDown);
        assertEquals(-1, idle.getInputStream().read());
        idle.close();
        return drained;
    }

    private static void assertLastResponse(Socket client, String body, CountDownLatch drained) throws Exception {
        Http.Message response = Http.readMessage(client.getInputStream());
        assertEquals(body, response.body());
        assertEquals("close", response.headers().get("connection"));
        assertEquals(-1, client.getInputStream().read());
        client.close();
        assertTrue(drained.await(20, TimeUnit.SECONDS));
    }

    /** Asserts that the node reads and drops what the client still writes, and does not reset the connection. */
    private static void assertReadAndDropped(NodeHarness harness, Socket client) throws Exception {
        for (int i = 0; i < 20; i++) {
            // On a closed connection, the first write would cause a reset, and the next write would fail.
            NodeHarness.write(client, Http.pageRequest("late" + i));
            harness.awaitEventLoop();
        }
    }
}
