package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServiceQBalancer;
import org.junit.jupiter.api.Test;

/** Connections to servers that open when the request that they were opened for must no longer be sent. */
class LateConnectionTest {
    private static final String PHOTO = "POST /api/7f3a HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: photo\r\n"
            + "X-Remaining: 15000m\r\nIdempotency-Key: 5c0f\r\nContent-Length: 0\r\n\r\n";

    private static final int STEPS_UP_TO_DIAL = 4;

    /** Returns a balancer that releases a permit for each attempt that it starts. */
    private static Balancer countingAttempts(NodeHarness harness, BalancerActions actions, Semaphore started) {
        return new ServiceQBalancer(harness.settings, 7, (BalancerActions) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {BalancerActions.class}, (proxy, method, args) -> {
                    try {
                        Object result = method.invoke(actions, args);
                        started.release(method.getName().equals("send") ? 1 : 0);
                        return result;
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                }));
    }

    /**
     * Waits until the node has dialed the connection of an attempt. The balancer's choice, the start of the attempt and
     * the dial each run in a separate task or timer of the loop. If the server accepted before the dial, the connection
     * would not open late.
     */
    private static void awaitDial(NodeHarness harness) throws InterruptedException {
        for (int step = 0; step < STEPS_UP_TO_DIAL; step++) {
            harness.awaitDueTimers();
        }
    }

    /**
     * Guards against running a request twice. The connection for a retry opens only after the deduplication window has
     * passed, when the servers no longer know the idempotency key. Nothing must be sent, and the request fails.
     */
    @Test
    void doesNotSendARetryWhoseConnectionOpensAfterTheDeduplicationWindow() throws Exception {
        Semaphore started = new Semaphore(0);
        CountDownLatch listed = new CountDownLatch(1);
        try (LateServer late = new LateServer();
                FakeServer first = new FakeServer((request, peer) -> {
                    try {
                        assertTrue(listed.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.reset();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.settings.classes.set(
                    1,
                    new RequestClass(
                            "photo",
                            1_000_000,
                            0,
                            15_000_000,
                            1,
                            0,
                            Idempotency.IDEMPOTENT_WITH_KEY,
                            DeduplicationScope.CELL,
                            900_000,
                            false));
            harness.balancerFactory = actions -> countingAttempts(harness, actions, started);
            harness.start(first);
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            Socket client = harness.connect();
            NodeHarness.write(client, PHOTO.formatted("t"));
            FakeServer.awaitNext(first.requests);
            watch.write(NodeHarness.chunk(NodeHarness.endpointList(2, false, late.entry("s1")) + "\n"));
            harness.awaitMetric("node_known_app_servers 2");
            listed.countDown();
            // The retry dials its connection, and the system will retry the dial.
            assertTrue(started.tryAcquire(2, 20, TimeUnit.SECONDS));
            awaitDial(harness);
            late.startAccepting();
            assertEquals(502, Http.readMessage(client.getInputStream()).status());
            assertTrue(late.receivedTxns.isEmpty(), "sent after the deduplication window");
        }
    }

    /**
     * Guards against sending a request whose client is gone. The client disconnects while its request waits for a
     * connection. When the connection opens, the node must use it for the next request.
     */
    @Test
    void usesALateConnectionForTheNextRequest() throws Exception {
        Semaphore started = new Semaphore(0);
        try (LateServer late = new LateServer();
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.balancerFactory = actions -> countingAttempts(harness, actions, started);
            harness.startWithList(NodeHarness.endpointList(1, true, late.entry("s0")));
            Socket client = harness.connect();
            NodeHarness.write(client, PHOTO.formatted("gone"));
            assertTrue(started.tryAcquire(20, TimeUnit.SECONDS));
            awaitDial(harness);
            client.close();
            harness.awaitMetric("node_in_progress 0");
            late.startAccepting();
            assertEquals(200, harness.exchange(PHOTO.formatted("next")).status());
            assertEquals(List.of("next"), List.copyOf(late.receivedTxns));
        }
    }
}
