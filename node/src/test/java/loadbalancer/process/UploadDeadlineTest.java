package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Large requests to servers that do not read them, or slowly. The time of a request runs from the last byte that its
 * client has sent, whether the node has read it or not.
 */
class UploadDeadlineTest {
    /** How long after the deadline a response counts as lost. */
    private static final long LOST_AFTER_MS = 500;

    private static final int SMALL_SOCKET_BUFFER_BYTES = 16 << 10;

    /** A server that reads a part of each request, at this rate, and never responds unless it has read all of it. */
    private static final class SlowServer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final int readBytes;
        private final int bytesPerSecond;

        SlowServer(int readBytes, int bytesPerSecond) throws IOException {
            this.readBytes = readBytes;
            this.bytesPerSecond = bytesPerSecond;
            listener.setReceiveBufferSize(SMALL_SOCKET_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread thread = new Thread(this::serve, "slow-server");
            thread.setDaemon(true);
            thread.start();
        }

        String entry() {
            return "s0=127.0.0.1:" + listener.getLocalPort() + "=Ready";
        }

        private void serve() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    Thread thread = new Thread(() -> read(connection), "slow-read");
                    thread.setDaemon(true);
                    thread.start();
                }
            } catch (IOException e) {
                // Closed: the test is over.
            }
        }

        private void read(Socket connection) {
            int partBytes = Math.max(1, bytesPerSecond / 50);
            try {
                Http.readHead(connection.getInputStream());
                for (int read = 0; read < readBytes; read += partBytes) {
                    if (connection.getInputStream().readNBytes(partBytes).length < partBytes) {
                        return;
                    }
                    Thread.sleep(20);
                }
                // Keeps the connection open.
                Thread.sleep(TimeUnit.SECONDS.toMillis(20));
            } catch (IOException | InterruptedException e) {
                // The node has closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static String order(boolean chunked, int bodyBytes, long remainingMs) {
        String body = "a".repeat(bodyBytes);
        String head = Http.orderRequest("t", remainingMs + "m").replace("Content-Length: 2\r\n\r\nab", "");
        return chunked
                ? head + "Transfer-Encoding: chunked\r\n\r\n" + NodeHarness.chunk(body) + "0\r\n\r\n"
                : head + "Content-Length: " + bodyBytes + "\r\n\r\n" + body;
    }

    private static CountDownLatch lostIn(NodeHarness harness, long millis) {
        CountDownLatch lost = new CountDownLatch(1);
        harness.loop.schedule(lost::countDown, millis, TimeUnit.MILLISECONDS);
        return lost;
    }

    private static void assertFailsBefore(CountDownLatch lost, Socket client) throws Exception {
        int status = Http.readMessage(client.getInputStream()).status();
        assertTrue(status == 502 || status == 503, "status " + status);
        assertEquals(1, lost.getCount(), "the response was lost: it came more than half a second after its time");
    }

    /**
     * Guards against a client that waits for ten seconds: a server stops to read its request, so that the node stops to
     * read it too and the last bytes lie in the client's socket.
     */
    @ParameterizedTest
    @CsvSource({"false, 400000, 0", "true, 400000, 0", "false, 250000, 6000", "true, 250000, 32000"})
    void requestToAServerThatStopsReadingFailsInTime(boolean chunked, int bodyBytes, int readBytes) throws Exception {
        long remainingMs = 400;
        try (SlowServer server = new SlowServer(readBytes, 1_000_000);
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.startWithList(NodeHarness.endpointList(1, true, server.entry()));
            Socket client = harness.connect();
            NodeHarness.write(client, order(chunked, bodyBytes, remainingMs));
            assertFailsBefore(lostIn(harness, remainingMs + LOST_AFTER_MS), client);
        }
    }

    /**
     * Guards against a final response that comes seconds late because a server reads slowly: what the node and its
     * sockets hold when the client has sent its last byte takes longer than the client waits.
     */
    @ParameterizedTest
    @CsvSource({"false, 100000", "true, 100000", "false, 150000"})
    void requestToASlowServerFailsInTime(boolean chunked, int bytesPerSecond) throws Exception {
        long remainingMs = 200;
        int bodyBytes = 400_000;
        try (SlowServer server = new SlowServer(bodyBytes, bytesPerSecond);
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.startWithList(NodeHarness.endpointList(1, true, server.entry()));
            Socket client = harness.connectWithSendBuffer(SMALL_SOCKET_BUFFER_BYTES);
            client.getOutputStream()
                    .write(order(chunked, bodyBytes, remainingMs).getBytes(StandardCharsets.US_ASCII));
            assertFailsBefore(lostIn(harness, remainingMs + LOST_AFTER_MS), client);
        }
    }

    /**
     * Guards against a request that gets its whole time anew once a server is known: it has waited with a part of its
     * body unread. The server must be told what is left, and the response must come in time.
     */
    @Test
    void timeOfALargeRequestRunsWhileItWaitsForAServer() throws Exception {
        long remainingMs = 2_000;
        long waitMs = 800;
        CountDownLatch never = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> FakeServer.awaitLatch(never));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start()) {
            Socket client = harness.connect();
            NodeHarness.write(client, order(false, 100_000, remainingMs));
            CountDownLatch lost = lostIn(harness, remainingMs + LOST_AFTER_MS);
            harness.loop.schedule(() -> {}, waitMs, TimeUnit.MILLISECONDS).sync();
            harness.announceServer("s0", server);
            String told = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long toldUs = Long.parseLong(told.replace("u", ""));
            long leftUs = TimeUnit.MILLISECONDS.toMicros(remainingMs - waitMs + 150);
            assertTrue(toldUs <= leftUs, "told " + told + " of " + leftUs);
            assertFailsBefore(lost, client);
            never.countDown();
        }
    }

    /** Reads a request at 6 MB a second and responds to it. */
    private static void serveSteadily(ServerSocket listener) {
        try (Socket connection = listener.accept()) {
            Http.Message head = Http.readHead(connection.getInputStream());
            int left = Integer.parseInt(head.headers().get("content-length"));
            while (left > 0) {
                left -= connection.getInputStream().readNBytes(Math.min(left, 64 << 10)).length;
                Thread.sleep(10);
            }
            connection.getOutputStream().write(Http.okResponse("done").getBytes(StandardCharsets.US_ASCII));
            // Keeps the connection open until the node closes it.
            connection.getInputStream().read();
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection.
        }
    }

    /**
     * Guards against counting the time of a request from the opening of its connection: an upload that begins with its
     * connection takes longer than its client waits after the last byte, and the node never reads its socket empty.
     */
    @Test
    void timeOfALongUploadOnANewConnectionCountsFromItsLastByte() throws Exception {
        int bodyBytes = 12 << 20;
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Thread server = new Thread(() -> serveSteadily(listener), "steady-server");
            server.setDaemon(true);
            server.start();
            harness.startWithList(
                    NodeHarness.endpointList(1, true, "s0=127.0.0.1:" + listener.getLocalPort() + "=Ready"));
            // The node finds the socket full when it first reads it.
            CountDownLatch release = harness.blockEventLoop();
            Socket client = harness.connect();
            Thread writer = new Thread(() -> {
                try {
                    NodeHarness.write(client, order(false, bodyBytes, 1_000));
                } catch (IOException e) {
                    // The node has closed the connection, which the response shows.
                }
            });
            writer.setDaemon(true);
            writer.start();
            Thread.sleep(50);
            release.countDown();
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
        }
    }
}
