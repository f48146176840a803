package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses that fail during the transfer. The expected results are in {@code docs/acceptance.md}. */
class ResponseFailureTest {
    private static final String ORDER = Http.orderRequest("t", "15000m");

    /**
     * Guards against two responses to one request, and against connections that are out of step. A response arrives and
     * its deadline passes while the event loop is blocked. Either may win, but the client must get one response, and
     * both connections must serve the next request.
     */
    @Test
    void responseAndTimeoutInOneTurnGiveOneResponse() throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if ("t0".equals(request.headers().get("x-txn"))) {
                        FakeServer.awaitLatch(responseAllowed);
                    }
                    connection.write(Http.okResponse(request.headers().get("x-txn")));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "t0", "60m"));
            FakeServer.awaitNext(server.requests);
            CountDownLatch release = harness.blockEventLoop();
            long releaseAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(80);
            responseAllowed.countDown();
            FakeServer.awaitNext(server.respondedConnections);
            while (System.nanoTime() < releaseAtNanos) {
                Thread.onSpinWait();
            }
            release.countDown();
            int status = Http.readMessage(client.getInputStream()).status();
            assertTrue(status == 200 || status == 502 || status == 503, "status " + status);
            assertEquals(
                    "t1",
                    NodeHarness.exchange(client, Http.pageRequest("/api/p", "t1", "15000m"))
                            .body());
            assertEquals(
                    "t2",
                    harness.exchange(Http.pageRequest("/api/p", "t2", "15000m")).body());
        }
    }

    /**
     * Guards against a client that takes a truncated response for complete. The end of the connection marks the end of
     * the server's response, and the server resets the connection in the middle of it.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void resetResponseOfUnknownLengthIsNeverComplete(boolean transferring) throws Exception {
        CountDownLatch responseStarted = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, connection) -> {
                    connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nonly a part"
                            + "a".repeat(transferring ? 70_000 : 0));
                    if (transferring) {
                        FakeServer.awaitLatch(responseStarted);
                    }
                    connection.reset();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(transferring ? 200 : 502, head.status());
            responseStarted.countDown();
            if (transferring) {
                assertEquals("chunked", head.headers().get("transfer-encoding"));
                boolean complete = true;
                try {
                    Http.readBody(client.getInputStream(), head);
                } catch (IOException e) {
                    complete = false;
                }
                assertFalse(complete, "a truncated response looked complete");
            }
            assertEquals(1, server.requests.size(), "attempts of a non-idempotent request");
        }
    }

    /**
     * Guards against a client that waits for as long as a stalled server keeps the connection open. The server begins a
     * response of unknown length and stalls. The node must abort the response soon after the deadline.
     */
    @Test
    void stalledResponseOfUnknownLengthIsAbortedSoonAfterItsDeadline() throws Exception {
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if ("stands".equals(request.headers().get("x-txn"))) {
                        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstill\r\n");
                    }
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket other = harness.connect();
            NodeHarness.write(other, Http.pageRequest("/api/p", "silent", "4000m"));
            FakeServer.awaitNext(server.requests);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "stands", "200m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertThrows(IOException.class, () -> Http.readBody(client.getInputStream(), head));
            assertEquals(0, other.getInputStream().available(), "a response came long before the deadline");
        }
    }
}
