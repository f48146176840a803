package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** What a node owes whose event loop has stood still while clients asked and servers hung. */
class StalledLoopTest {
    private static final long STALL_MS = 300;

    /** Keeps the loop from running for a while from now on. */
    private static void stall(CountDownLatch release) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        release.countDown();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestThatWaitedToBeReadTellsTheServerWhatIsLeftToItsClient(boolean newConnection) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket open = harness.connect();
            assertEquals(
                    200,
                    NodeHarness.exchange(open, Http.pageRequest("/api/p", "first", "15000m"))
                            .status());
            CountDownLatch release = harness.blockEventLoop();
            Socket client = newConnection ? harness.connect() : open;
            NodeHarness.write(client, Http.pageRequest("/api/p", "second", "15000m"));
            stall(release);
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
            FakeServer.awaitNext(server.requests);
            String left = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(left.substring(0, left.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "told " + left);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestWhoseTimeRanOutUnreadIsRefusedAndNotSent(boolean newConnection) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket open = harness.connect();
            assertEquals(
                    200,
                    NodeHarness.exchange(open, Http.pageRequest("/api/p", "first", "15000m"))
                            .status());
            CountDownLatch release = harness.blockEventLoop();
            Socket client = newConnection ? harness.connect() : open;
            NodeHarness.write(client, Http.pageRequest("/api/p", "late", "200m"));
            stall(release);
            assertEquals(503, Http.readMessage(client.getInputStream()).status());
            assertEquals(
                    200,
                    NodeHarness.exchange(client, Http.pageRequest("/api/p", "last", "15000m"))
                            .status());
            assertEquals(
                    "first", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            assertEquals("last", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void aRequestSentAheadHasTheTimeThatIsLeftOnceItIsItsTurn() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) -> {
                    if ("first".equals(request.headers().get("x-txn"))) {
                        stall(new CountDownLatch(1));
                    }
                    peer.write(Http.okResponse("x"));
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
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "told " + left);
        }
    }

    @Test
    void anAttemptWhoseTimeRanOutIsToldBeforeANewOneBegins() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicBoolean newOneWasFirst = new AtomicBoolean();
        try (FakeServer server = new FakeServer((request, peer) -> {
                    if ("hangs".equals(request.headers().get("x-txn"))) {
                        FakeServer.awaitLatch(never);
                    }
                    peer.write(Http.okResponse("x"));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Function<BalancerActions, Balancer> module = harness.balancerFactory;
            harness.balancerFactory = actions -> onTimeout(module.apply(actions), () -> {
                // Whatever was written by now has come to the server.
                stall(new CountDownLatch(1));
                newOneWasFirst.set(server.requests.stream()
                        .anyMatch(request -> "new".equals(request.headers().get("x-txn"))));
            });
            harness.start(server);
            Socket first = harness.connect();
            Socket second = harness.connect();
            NodeHarness.write(first, Http.orderRequest("hangs", "150m"));
            FakeServer.awaitNext(server.requests);
            // A connection to the server that is free, so that the new attempt is written as it begins.
            assertEquals(
                    200,
                    NodeHarness.exchange(second, Http.pageRequest("/api/p", "before", "15000m"))
                            .status());
            CountDownLatch release = harness.blockEventLoop();
            NodeHarness.write(second, Http.pageRequest("/api/p", "new", "15000m"));
            stall(release);
            assertEquals(200, Http.readMessage(second.getInputStream()).status());
            never.countDown();
            assertFalse(newOneWasFirst.get());
        }
    }

    /** The same module, which runs this as it is told that an attempt is out of time. */
    private static Balancer onTimeout(Balancer module, Runnable then) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("onOutcome")
                            && ((AttemptOutcome) arguments[1]).result() == AttemptResult.TIMEOUT) {
                        then.run();
                    }
                    return method.invoke(module, arguments);
                });
    }
}
