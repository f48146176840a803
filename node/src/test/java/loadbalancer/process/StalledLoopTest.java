package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.policy.AttemptResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that arrive and deadlines that pass while the event loop of the node is stalled. */
class StalledLoopTest {
    private static final long STALL_MS = 300;

    /** Waits for {@value #STALL_MS} ms, and then counts down the latch, which may release the event loop. */
    private static void stall(CountDownLatch release) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        release.countDown();
    }

    private static void assertServed(Socket client, String requestId) throws IOException {
        Http.Message response = NodeHarness.exchange(client, Http.pageRequest("/api/p", requestId, "15000m"));
        assertEquals(200, response.status());
    }

    /**
     * Guards against a server that works for a client that has given up. A request waits in the socket for 300 ms while
     * the loop is stalled. Its deadline counts from its arrival, so the server must get the time that remains.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatWaitedUnreadPassesTheRemainingTimeToTheServer(boolean newConnection) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket open = harness.connect();
            assertServed(open, "first");
            CountDownLatch release = harness.blockEventLoop();
            Socket client = newConnection ? harness.connect() : open;
            NodeHarness.write(client, Http.pageRequest("/api/p", "second", "15000m"));
            stall(release);
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
            FakeServer.awaitNext(server.requests);
            String remaining = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(remaining.substring(0, remaining.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "remaining " + remaining);
        }
    }

    /**
     * Guards against a server that works for a client that has given up. A request with a deadline of 200 ms waits in
     * the socket for 300 ms while the loop is stalled. It must be rejected at once, and no server must get it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestWhoseDeadlinePassedUnreadIsRejectedAndNotSent(boolean newConnection) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket open = harness.connect();
            assertServed(open, "first");
            CountDownLatch release = harness.blockEventLoop();
            Socket client = newConnection ? harness.connect() : open;
            NodeHarness.write(client, Http.pageRequest("/api/p", "late", "200m"));
            stall(release);
            assertEquals(503, Http.readMessage(client.getInputStream()).status());
            assertServed(client, "last");
            assertEquals(
                    "first", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            assertEquals("last", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    /**
     * Guards against giving a server too much time for a pipelined request. The server takes 300 ms for the first of
     * two pipelined requests. The second one has waited as long, so the server must get the time that remains.
     */
    @Test
    void pipelinedRequestHasTheRemainingTimeAtItsTurn() throws Exception {
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if ("first".equals(request.headers().get("x-txn"))) {
                        stall(new CountDownLatch(1));
                    }
                    connection.write(Http.okResponse("x"));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(
                    client,
                    Http.pageRequest("/api/p", "first", "15000m") + Http.pageRequest("/api/p", "second", "15000m"));
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
            FakeServer.awaitNext(server.requests);
            String remaining = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(remaining.substring(0, remaining.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "remaining " + remaining);
        }
    }

    /**
     * Guards against a new attempt at a server that has just timed out. While the loop is stalled, an attempt times out
     * and a new request arrives. The timeout must be reported to the balancer before the new attempt is written,
     * because the balancer may then choose another server.
     */
    @Test
    void timeoutIsReportedBeforeANewAttemptBegins() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicBoolean newAttemptWasFirst = new AtomicBoolean();
        try (FakeServer server = new FakeServer((request, connection) -> {
                    if ("hangs".equals(request.headers().get("x-txn"))) {
                        FakeServer.awaitLatch(never);
                    }
                    connection.write(Http.okResponse("x"));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.observeOutcomes(outcome -> {
                if (outcome.result() == AttemptResult.TIMEOUT) {
                    // Gives an attempt that is already written time to reach the server.
                    stall(new CountDownLatch(1));
                    newAttemptWasFirst.set(server.requests.stream()
                            .anyMatch(request -> "new".equals(request.headers().get("x-txn"))));
                }
            });
            harness.start(server);
            Socket first = harness.connect();
            Socket second = harness.connect();
            NodeHarness.write(first, Http.orderRequest("hangs", "150m"));
            FakeServer.awaitNext(server.requests);
            // Opens a connection to the server, so that the new attempt is written as soon as it starts.
            assertEquals(
                    200,
                    NodeHarness.exchange(second, Http.pageRequest("/api/p", "before", "15000m"))
                            .status());
            CountDownLatch release = harness.blockEventLoop();
            NodeHarness.write(second, Http.pageRequest("/api/p", "new", "15000m"));
            stall(release);
            assertEquals(200, Http.readMessage(second.getInputStream()).status());
            never.countDown();
            assertFalse(newAttemptWasFirst.get());
        }
    }
}
