package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The control address of a node: health, metrics and cordons. */
class ControlServerTest {

    private static NodeHarness withControlAddress() throws Exception {
        NodeHarness harness = NodeHarness.withSilentDiscovery();
        harness.hasControl = true;
        return harness;
    }

    @Test
    void aNodeIsHealthyOnceClientsCanConnectAndUntilItDrains() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = withControlAddress()) {
            harness.createNode(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals("NO not serving\n", harness.controlCall("health\n"));
            harness.listen();
            assertEquals("YES\n", harness.controlCall("health\n"));
            assertEquals("YES\n", harness.controlCall("health\r\n"));
            harness.node.drain(System.nanoTime(), () -> {});
            assertEquals("NO not serving\n", harness.controlCall("health\n"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "health now",
                "cordon",
                "cordon s0 s1",
                "uncordon",
                "quiesce",
                "HEALTH",
                "cordon none",
                "uncordon none",
                "GET / HTTP/1.1"
            })
    void aLineThatIsNotACallIsRejected(String call) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = withControlAddress().start(server)) {
            String response = harness.controlCall(call + "\n");
            assertTrue(response.matches("NO .+\n"), response);
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
        }
    }

    @Test
    void aLineTooLongIsRejectedAndACallInPiecesIsRead() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = withControlAddress().start(server)) {
            assertEquals("NO line too long\n", harness.controlCall("cordon " + "s".repeat(5_000)));
            try (Socket caller = new Socket(harness.controlAddress.getAddress(), harness.controlAddress.getPort())) {
                for (String piece : "health\n".split("")) {
                    NodeHarness.write(caller, piece);
                }
                assertEquals("YES\n", new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            }
        }
    }

    @Test
    void silentConnectionsDelayNoCallAndAreClosed() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = withControlAddress().start(server)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket caller = new Socket(harness.controlAddress.getAddress(), harness.controlAddress.getPort());
                caller.setSoTimeout(20_000);
                NodeHarness.write(caller, i % 2 == 0 ? "" : "heal");
                silent.add(caller);
            }
            assertEquals("YES\n", harness.controlCall("health\n"));
            for (Socket caller : silent) {
                assertEquals(-1, caller.getInputStream().read());
                caller.close();
            }
        }
    }

    @Test
    void metricsMatchTheRequestsOfClientsAndServers() throws Exception {
        CountDownLatch responseAllowed = new CountDownLatch(1);
        CountDownLatch abandonedReceived = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    String txn = request.headers().get("x-txn");
                    if (txn.startsWith("full")) {
                        peer.write(Http.response("503 Busy", "X-Turned-Away: 1\r\n", ""));
                    } else if (txn.startsWith("bad")) {
                        peer.write(Http.response("500 No", "", ""));
                    } else if (txn.equals("held")) {
                        try {
                            responseAllowed.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        peer.write(Http.okResponse("x"));
                    } else if (txn.equals("left")) {
                        abandonedReceived.countDown();
                    } else {
                        peer.write(Http.okResponse("x"));
                    }
                });
                NodeHarness harness = withControlAddress().start(server)) {
            String metricsBefore = harness.controlCall("counters\n");
            for (String line : new String[] {
                "handled{category=\"page\",outcome=\"passed\"}",
                "handled{category=\"photo\",outcome=\"dropped\"}",
                "handled{category=\"order\",outcome=\"bad_gateway\"}",
                "upstream_tries",
                "in_progress",
                "skipped_app_servers",
                "loads",
                "load_errors"
            }) {
                assertTrue(metricsBefore.contains("node_" + line + " 0\n"), metricsBefore);
            }
            assertTrue(metricsBefore.contains("node_known_app_servers 1\n"), metricsBefore);
            assertTrue(metricsBefore.endsWith("\nEND\n"), metricsBefore);
            for (int i = 0; i < 5; i++) {
                assertEquals(200, harness.exchange(Http.pageRequest("t" + i)).status());
            }
            assertEquals(200, harness.exchange(Http.orderRequest("o", "4000m")).status());
            assertEquals(
                    503, harness.exchange(Http.orderRequest("full", "300m")).status());
            assertEquals(
                    502, harness.exchange(Http.orderRequest("bad", "4000m")).status());
            assertEquals(
                    404,
                    harness.exchange(Http.pageRequest("/nothing", "u", "1m")).status());
            assertEquals(
                    400, harness.exchange(Http.pageRequest("/api/x", "", "1m")).status());
            Socket disconnecting = harness.connect();
            NodeHarness.write(disconnecting, Http.pageRequest("/api/x", "left", "5000m"));
            // Once the server has read the request, node and server count the same number of attempts.
            abandonedReceived.await();
            disconnecting.close();
            harness.awaitMetric("node_in_progress 0");
            Socket last = harness.connect();
            NodeHarness.write(last, Http.pageRequest("/api/x", "held", "5000m"));
            harness.awaitMetric("node_in_progress 1");
            responseAllowed.countDown();
            assertEquals(200, Http.readMessage(last.getInputStream()).status());
            harness.awaitMetric("node_in_progress 0");
            String metricsAfter = harness.controlCall("counters\n");
            assertTrue(metricsAfter.contains("{category=\"page\",outcome=\"passed\"} 6\n"), metricsAfter);
            assertTrue(metricsAfter.contains("{category=\"page\",outcome=\"bad_gateway\"} 0\n"), metricsAfter);
            assertTrue(metricsAfter.contains("{category=\"order\",outcome=\"passed\"} 1\n"), metricsAfter);
            assertTrue(metricsAfter.contains("{category=\"order\",outcome=\"dropped\"} 1\n"), metricsAfter);
            assertTrue(metricsAfter.contains("{category=\"order\",outcome=\"bad_gateway\"} 1\n"), metricsAfter);
            assertTrue(metricsAfter.contains("node_upstream_tries " + server.requests.size() + "\n"), metricsAfter);
        }
    }

    @Test
    void aCordonedServerGetsNoRequestsUntilItIsUncordoned() throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness harness = withControlAddress().start(one, two)) {
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            assertEquals("YES\n", harness.controlCall("cordon s0\n"));
            assertEquals("YES\n", harness.controlCall("cordon s0\n"), "repeated call");
            // The server is removed from the list and listed again. It must stay cordoned.
            watch.write(NodeHarness.chunk(NodeHarness.endpointList(2, true, "s1=" + two.endpoint() + "=Ready") + "\n"));
            harness.awaitMetric("node_known_app_servers 1");
            watch.write(NodeHarness.chunk(NodeHarness.endpointList(
                            3, true, "s0=" + one.endpoint() + "=Ready", "s1=" + two.endpoint() + "=Ready")
                    + "\n"));
            harness.awaitMetric("node_known_app_servers 2");
            harness.awaitMetric("node_skipped_app_servers 1");
            for (int i = 0; i < 30; i++) {
                assertEquals(
                        "two",
                        harness.exchange(Http.pageRequest("/api/x", "t" + i, "4000m"))
                                .body());
            }
            assertEquals("YES\n", harness.controlCall("uncordon s0\n"), "one call ends a cordon that was set twice");
            harness.awaitMetric("node_skipped_app_servers 0");
            assertEquals("YES\n", harness.controlCall("uncordon s0\n"), "a listed server that is not cordoned");
            int sent = 0;
            while (one.requests.isEmpty()) {
                assertTrue(sent < 10_000, "the server gets no requests after the end of its cordon");
                harness.exchange(Http.pageRequest("/api/x", "u" + sent++, "4000m"));
            }
        }
    }

    @Test
    void aCordonAppliesToAllProcessesOfANodeAndToTheNextProcess(@TempDir Path folder) throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness first = withControlAddress();
                NodeHarness second = withControlAddress()) {
            first.sharedFolder = folder;
            second.sharedFolder = folder;
            first.start(one, two);
            assertEquals("YES\n", first.controlCall("cordon s0\n"));
            second.start(one, two);
            second.awaitMetric("node_skipped_app_servers 1");
            assertEquals("two", second.exchange(Http.pageRequest("t")).body());
            assertEquals("YES\n", second.controlCall("uncordon s0\n"));
            first.awaitMetric("node_skipped_app_servers 0");
            long calledAt = System.nanoTime();
            assertEquals("YES\n", second.controlCall("cordon s1\n"));
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
            assertTrue(
                    elapsedMs >= ServerListUpdater.CORDON_PROPAGATION_MILLIS,
                    "YES came before the other process refreshed its cordons, after ms: " + elapsedMs);
            first.awaitMetric("node_skipped_app_servers 1");
            assertEquals("one", first.exchange(Http.pageRequest("u")).body());
        }
    }

    @Test
    void anUnreadableCordonFileDoesNotStopTheNodeAndAFailedWriteIsRejected(@TempDir Path folder) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = withControlAddress()) {
            harness.sharedFolder = folder;
            Files.write(folder.resolve("kitemux.cordons"), new byte[] {(byte) 0xff, (byte) 0xfe, 0});
            harness.start(server);
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
            assertEquals("YES\n", harness.controlCall("cordon s0\n"), "the unreadable file is replaced");
            harness.awaitMetric("node_skipped_app_servers 1");
            Files.createDirectory(folder.resolve("kitemux.cordons.new"));
            String response = harness.controlCall("uncordon s0\n");
            assertTrue(response.startsWith("NO cordons cannot be kept: "), response);
            harness.awaitMetric("node_skipped_app_servers 1");
        }
    }
}
