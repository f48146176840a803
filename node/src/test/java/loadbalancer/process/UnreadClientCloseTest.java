package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that leave while the node does not take their input: no attempt may begin long after that. */
class UnreadClientCloseTest {
    /** An attempt may begin this long after its client has left, with the 50 ms of every limit on the platform. */
    private static final long ATTEMPT_ALLOWED_MS = 150;

    private static final String REMAINING = "15000m";
    private static final String REJECTION = Http.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");

    private enum Departure {
        CLOSE {
            @Override
            void leave(Socket client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void leave(Socket client) throws IOException {
                client.setSoLinger(true, 0);
                client.close();
            }
        },
        HALF_CLOSE {
            @Override
            void leave(Socket client) throws IOException {
                client.shutdownOutput();
            }
        };

        abstract void leave(Socket client) throws IOException;
    }

    private static String largeOrder(int bodyBytes) {
        return Http.orderRequest("gone", REMAINING)
                .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + bodyBytes + "\r\n\r\n")
                .concat("a".repeat(bodyBytes));
    }

    private static String pipelinedOrders(int count) {
        StringBuilder orders = new StringBuilder();
        for (int i = 0; i < count; i++) {
            orders.append(Http.orderRequest("gone" + i, REMAINING));
        }
        return orders.toString();
    }

    /** Waits until an attempt for a client that has just left would begin too late. */
    private static void awaitAttemptForbidden(NodeHarness harness) throws Exception {
        harness.loop
                .schedule(() -> {}, ATTEMPT_ALLOWED_MS, TimeUnit.MILLISECONDS)
                .sync();
    }

    private static void assertOnlyNextIsServed(NodeHarness harness, FakeServer server) throws Exception {
        Http.Message response = harness.exchange(Http.pageRequest("/api/p", "next", REMAINING));
        assertEquals(200, response.status());
        assertEquals("next", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        harness.awaitEventLoop();
        assertTrue(server.requests.isEmpty(), "sent for a client that has left: " + server.requests);
    }

    /**
     * Guards against sending a request whose client has left: it waits for a server, its body is too large to be
     * buffered, and the end of the client's stream lies behind the body.
     */
    @ParameterizedTest
    @CsvSource({"CLOSE, 100000", "RESET, 100000", "HALF_CLOSE, 100000", "CLOSE, 1000000", "RESET, 1000000"})
    void largeRequestIsNotSentAfterItsClientHasLeft(Departure departure, int bodyBytes) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start()) {
            Socket client = harness.connect();
            NodeHarness.write(client, largeOrder(bodyBytes));
            harness.awaitEventLoop();
            departure.leave(client);
            awaitAttemptForbidden(harness);
            harness.announceServer("s0", server);
            assertOnlyNextIsServed(harness, server);
        }
    }

    /**
     * Guards against sending requests whose client has left behind so many of them that the node does not take them
     * all: the first one is in service, the others wait, also unread.
     */
    @ParameterizedTest
    @CsvSource({"CLOSE, 10", "CLOSE, 1000", "RESET, 1000", "HALF_CLOSE, 1000", "CLOSE, 5000"})
    void pipelinedRequestsAreNotSentAfterTheirClientHasLeft(Departure departure, int count) throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(responseAllowed);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, pipelinedOrders(count));
            assertEquals(
                    "gone0", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            departure.leave(client);
            awaitAttemptForbidden(harness);
            responseAllowed.countDown();
            assertOnlyNextIsServed(harness, server);
        }
    }

    /**
     * Guards against further attempts for a client that has left: servers reject its request one after the other, and
     * the end of its stream lies behind requests that the node does not take yet.
     */
    @Test
    void rejectedRequestIsNotSentAgainAfterItsClientHasLeft() throws Exception {
        try (FakeServer server = new FakeServer((request, connection) -> connection.write(REJECTION));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.settings.maxAttempts = 1_000_000;
            harness.start(server);
            Socket client = harness.connect();
            NodeHarness.write(client, pipelinedOrders(1_000));
            FakeServer.awaitNext(server.requests);
            client.close();
            awaitAttemptForbidden(harness);
            server.requests.clear();
            harness.loop.schedule(() -> {}, 500, TimeUnit.MILLISECONDS).sync();
            assertTrue(server.requests.isEmpty(), server.requests.size() + " attempts for a client that has left");
        }
    }

    /**
     * Guards against further attempts for a client that has left while a server did not take its large request: the
     * server rejects it later, when the node has not read the client for a while.
     */
    @Test
    void largeRequestIsNotSentAgainWhenItIsRejectedAfterItsClientHasLeft() throws Exception {
        CountDownLatch rejectionAllowed = new CountDownLatch(1);
        CountDownLatch headRead = new CountDownLatch(1);
        try (RejectingServer rejecting = new RejectingServer(headRead, rejectionAllowed);
                FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.startWithList(NodeHarness.endpointList(1, true, rejecting.entry("s0")));
            Socket client = harness.connect();
            NodeHarness.write(client, largeOrder(1_000_000));
            FakeServer.awaitLatch(headRead);
            harness.announceServer("s1", server);
            harness.awaitMetric("node_known_app_servers 2");
            client.close();
            awaitAttemptForbidden(harness);
            rejectionAllowed.countDown();
            rejecting.awaitClosed();
            awaitAttemptForbidden(harness);
            assertEquals(0, server.connectionCount.get(), "sent for a client that has left");
        }
    }

    /** A server that reads the head of a request and rejects it later, without reading its body. */
    private static final class RejectingServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final CountDownLatch closed = new CountDownLatch(1);

        RejectingServer(CountDownLatch headRead, CountDownLatch rejectionAllowed) throws IOException {
            // So small that the beginning of the body fills the buffers, which the node can send to another server.
            listener.setReceiveBufferSize(4 << 10);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread thread = new Thread(
                    () -> {
                        try (Socket connection = listener.accept()) {
                            Http.readHead(connection.getInputStream());
                            headRead.countDown();
                            FakeServer.awaitLatch(rejectionAllowed);
                            NodeHarness.write(connection, REJECTION);
                            connection.shutdownOutput();
                            connection.getInputStream().readAllBytes();
                        } catch (IOException e) {
                            // The node has closed the connection.
                        } finally {
                            closed.countDown();
                        }
                    },
                    "rejecting-server");
            thread.setDaemon(true);
            thread.start();
        }

        String entry(String id) {
            return id + "=127.0.0.1:" + listener.getLocalPort() + "=Ready";
        }

        void awaitClosed() throws IOException {
            FakeServer.awaitLatch(closed);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /**
     * Guards against sending a request whose client has left while the node was held up: all that it has sent and the
     * end of its stream arrived long ago, but the end lies behind more than a turn of the event loop reads.
     */
    @ParameterizedTest
    @EnumSource(Departure.class)
    void requestsThatWaitedThroughAStallAreNotSentAfterTheirClientHasLeft(Departure departure) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    404,
                    NodeHarness.exchange(client, "GET /nothing HTTP/1.1\r\n\r\n")
                            .status());
            CountDownLatch release = harness.blockEventLoop();
            NodeHarness.write(client, pipelinedOrders(2_000));
            departure.leave(client);
            Thread.sleep(ATTEMPT_ALLOWED_MS);
            release.countDown();
            awaitAttemptForbidden(harness);
            assertOnlyNextIsServed(harness, server);
        }
    }

    /**
     * Guards against rejecting a request for time that it has not waited: the connection was paused behind pipelined
     * requests before, and nothing has come since.
     */
    @Test
    void requestOnAConnectionThatWasPausedBeforeHasAllOfItsTime() throws Exception {
        int count = 20;
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, pipelinedOrders(count));
            for (int i = 0; i < count; i++) {
                assertEquals(200, Http.readMessage(client.getInputStream()).status());
            }
            Thread.sleep(500);
            Http.Message next = NodeHarness.exchange(client, Http.pageRequest("/api/p", "next", "300m"));
            assertEquals(200, next.status());
        }
    }

    /** Guards against a client that is held up for good: what was read ahead of its turn must be served in order. */
    @Test
    void requestsThatWereReadAheadAreServedInOrder() throws Exception {
        int count = 1_000;
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = FakeServer.respondingWhen(responseAllowed);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(
                    client, pipelinedOrders(count) + largeOrder(300_000) + Http.orderRequest("end", REMAINING));
            FakeServer.awaitNext(server.requests);
            awaitAttemptForbidden(harness);
            responseAllowed.countDown();
            for (int i = 0; i < count; i++) {
                assertEquals(
                        "gone" + i, Http.readMessage(client.getInputStream()).body());
            }
            assertEquals("gone", Http.readMessage(client.getInputStream()).body());
            assertEquals("end", Http.readMessage(client.getInputStream()).body());
        }
    }

    /**
     * Guards against an attempt that begins when its connection opens, long after the client has left, where the
     * settings do not allow to cancel attempts.
     */
    @Test
    void attemptIsNotSentOnALateConnectionWhereAttemptsAreNotCancelled() throws Exception {
        try (LateServer late = new LateServer();
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.settings.cancellation = false;
            harness.hasControl = true;
            harness.startWithList(NodeHarness.endpointList(1, true, late.entry("s0")));
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("gone", REMAINING));
            harness.awaitMetric("node_in_progress 1");
            awaitAttemptForbidden(harness);
            client.close();
            harness.awaitMetric("node_in_progress 0");
            late.startAccepting();
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest("/api/p", "next", REMAINING))
                            .status());
            assertFalse(late.receivedTxns.contains("gone"), "sent for a client that has left");
        }
    }
}
