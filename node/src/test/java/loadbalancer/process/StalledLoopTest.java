package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that arrive, and deadlines that pass, while the event loop of the node is stalled. */
class StalledLoopTest {
    private static final long STALL_MS = 300;

    /** Keeps the loop stalled for a while from now on, and then lets it run. */
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
     * A request waits in the socket for 300 ms, as the loop is stalled. Its deadline counts from when it arrived: the
     * server must be given the time that is left, or it works for a client that has given up.
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
            String left = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(left.substring(0, left.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "remaining " + left);
        }
    }

    /**
     * A request with a deadline of 200 ms waits in the socket for 300 ms, as the loop is stalled. It is rejected at
     * once, and no server gets it: its client has given up.
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
     * A client pipelines two requests, and the server takes 300 ms for the first. The second has waited for as long:
     * the server is given the time that is left of it.
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
            String left = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(left.substring(0, left.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "remaining " + left);
        }
    }

    /**
     * While the loop is stalled, an attempt times out and a new request arrives. The balancer must be told of the
     * time-out before the new attempt is written to a server: it may choose another server then.
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
            Function<BalancerActions, Balancer> factory = harness.balancerFactory;
            harness.balancerFactory = actions -> onTimeout(factory.apply(actions), () -> {
                // What has been written by now reaches the server in the meantime.
                stall(new CountDownLatch(1));
                newAttemptWasFirst.set(server.requests.stream()
                        .anyMatch(request -> "new".equals(request.headers().get("x-txn"))));
            });
            harness.start(server);
            Socket first = harness.connect();
            Socket second = harness.connect();
            NodeHarness.write(first, Http.orderRequest("hangs", "150m"));
            FakeServer.awaitNext(server.requests);
            // An idle connection to the server, so that the new attempt is written as it begins.
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

    /** The same balancer, which runs this whenever an attempt has timed out. */
    private static Balancer onTimeout(Balancer balancer, Runnable then) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("onOutcome")
                            && ((AttemptOutcome) arguments[1]).result() == AttemptResult.TIMEOUT) {
                        then.run();
                    }
                    return method.invoke(balancer, arguments);
                });
    }
}
