package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServiceQBalancer;
import org.junit.jupiter.api.Test;

/** Connections to servers that come up once what they were opened for has changed. */
class LateConnectionTest {
    private static final String PHOTO = "POST /api/7f3a HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nX-Lane: photo\r\n"
            + "X-Remaining: 15000m\r\nIdempotency-Key: 5c0f\r\nContent-Length: 0\r\n\r\n";

    private static final int TASKS_UP_TO_DIAL = 4;

    /** A server whose backlog is full: the system asks again a second later, so connections come up late. */
    private static final class LateServer implements AutoCloseable {
        private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        private final List<Socket> open = new ArrayList<>();
        private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

        LateServer() throws IOException {
            for (int i = 0; i < 2; i++) {
                open.add(new Socket(listening.getInetAddress(), listening.getLocalPort()));
            }
        }

        String entry(String id) {
            return id + "=127.0.0.1:" + listening.getLocalPort() + "=Ready";
        }

        /** Takes connections from now on and notes what is asked on each. */
        void letIn() {
            Thread thread = new Thread(
                    () -> {
                        try {
                            while (true) {
                                Socket socket = listening.accept();
                                open.add(socket);
                                Thread peer = new Thread(() -> serve(socket), "late peer");
                                peer.setDaemon(true);
                                peer.start();
                            }
                        } catch (IOException e) {
                            // Closed: the test is over.
                        }
                    },
                    "late");
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket socket) {
            try {
                while (true) {
                    asked.add(
                            Http.readMessage(socket.getInputStream()).headers().get("x-txn"));
                    new FakeServer.Connection(socket).write(Http.okResponse("late"));
                }
            } catch (IOException e) {
                // It has ended.
            }
        }

        @Override
        public void close() throws IOException {
            listening.close();
        }
    }

    /** The module, with a permit for each attempt that it has started. */
    private static Balancer counting(NodeHarness harness, BalancerActions actions, Semaphore started) {
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
     * Waits until the connection of an attempt has been asked for. The balancer's choice, the start of the attempt and
     * the dial each run in a task of their own; a task from outside may run ahead of the next one of them. Were the
     * server to accept before the dial, the connection would not be late.
     */
    private static void awaitDial(NodeHarness harness) throws InterruptedException {
        for (int task = 0; task < TASKS_UP_TO_DIAL; task++) {
            harness.awaitEventLoop();
        }
    }

    /**
     * A retry waits for a connection that opens only after the deduplication window has passed. The server would no
     * longer know the idempotency key and could run the request twice, so nothing is sent and the request fails.
     */
    @Test
    void doesNotSendARetryWhoseConnectionOpensAfterItsWindow() throws Exception {
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
            harness.balancerFactory = actions -> counting(harness, actions, started);
            harness.start(first);
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.answeredConnections);
            Socket client = harness.connect();
            NodeHarness.write(client, PHOTO.formatted("t"));
            FakeServer.awaitNext(first.requests);
            watch.write(NodeHarness.chunk(NodeHarness.endpointList(2, false, late.entry("s1")) + "\n"));
            harness.awaitMetric("node_known_app_servers 2");
            listed.countDown();
            // The repeat has asked for its connection, and is to be asked again by the system.
            assertTrue(started.tryAcquire(2, 20, TimeUnit.SECONDS));
            awaitDial(harness);
            late.letIn();
            assertEquals(502, Http.readMessage(client.getInputStream()).status());
            assertTrue(late.asked.isEmpty(), "sent behind its window");
        }
    }

    /**
     * A client leaves while its request waits for a connection. When the connection opens, nothing of that request is
     * sent on it, and the next request uses it.
     */
    @Test
    void usesALateConnectionForTheNextRequest() throws Exception {
        Semaphore started = new Semaphore(0);
        try (LateServer late = new LateServer();
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.balancerFactory = actions -> counting(harness, actions, started);
            harness.startWithList(NodeHarness.endpointList(1, true, late.entry("s0")));
            Socket client = harness.connect();
            NodeHarness.write(client, PHOTO.formatted("gone"));
            assertTrue(started.tryAcquire(20, TimeUnit.SECONDS));
            awaitDial(harness);
            client.close();
            harness.awaitMetric("node_in_progress 0");
            late.letIn();
            assertEquals(200, harness.exchange(PHOTO.formatted("next")).status());
            assertEquals(List.of("next"), List.copyOf(late.asked));
        }
    }
}
