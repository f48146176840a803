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

/** The control address of a whole node: health, metrics and cordons. */
class ControlServerTest {

    private static NodeHarness operated() throws Exception {
        NodeHarness harness = NodeHarness.withSilentDiscovery();
        harness.hasControl = true;
        return harness;
    }

    @Test
    void aNodeIsHealthyFromWhenClientsCanConnectUntilItDrains() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = operated()) {
            harness.createNode(NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals("NO not serving\n", harness.controlCall("health\n"));
            harness.listen();
            assertEquals("YES\n", harness.controlCall("health\n"));
            assertEquals("YES\n", harness.controlCall("health\r\n"));
            harness.node.drain(() -> {});
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
    void aLineThatIsNoCallIsRejected(String call) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = operated().start(server)) {
            String answer = harness.controlCall(call + "\n");
            assertTrue(answer.matches("NO .+\n"), answer);
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
        }
    }

    @Test
    void aLineTooLongIsRejectedAndACallInPiecesIsRead() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = operated().start(server)) {
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
    void silentConnectionsDelayNobodyAndAreClosed() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = operated().start(server)) {
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
    void metricsAgreeWithWhatClientsAndServersSaw() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    String txn = request.headers().get("x-txn");
                    if (txn.startsWith("full")) {
                        peer.write(Http.response("503 Busy", "X-Turned-Away: 1\r\n", ""));
                    } else if (txn.startsWith("bad")) {
                        peer.write(Http.response("500 No", "", ""));
                    } else if (txn.equals("held")) {
                        try {
                            held.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        peer.write(Http.okResponse("x"));
                    } else if (txn.equals("left")) {
                        left.countDown();
                    } else {
                        peer.write(Http.okResponse("x"));
                    }
                });
                NodeHarness harness = operated().start(server)) {
            String none = harness.controlCall("counters\n");
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
                assertTrue(none.contains("node_" + line + " 0\n"), none);
            }
            assertTrue(none.contains("node_known_app_servers 1\n"), none);
            assertTrue(none.endsWith("\nEND\n"), none);
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
            Socket leaver = harness.connect();
            NodeHarness.write(leaver, Http.pageRequest("/api/x", "left", "5000m"));
            // Written to a server, and read there: only then do both sides count the same.
            left.await();
            leaver.close();
            harness.awaitMetric("node_in_progress 0");
            Socket last = harness.connect();
            NodeHarness.write(last, Http.pageRequest("/api/x", "held", "5000m"));
            harness.awaitMetric("node_in_progress 1");
            held.countDown();
            assertEquals(200, Http.readMessage(last.getInputStream()).status());
            harness.awaitMetric("node_in_progress 0");
            String all = harness.controlCall("counters\n");
            assertTrue(all.contains("{category=\"page\",outcome=\"passed\"} 6\n"), all);
            assertTrue(all.contains("{category=\"page\",outcome=\"bad_gateway\"} 0\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"passed\"} 1\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"dropped\"} 1\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"bad_gateway\"} 1\n"), all);
            assertTrue(all.contains("node_upstream_tries " + server.requests.size() + "\n"), all);
        }
    }

    @Test
    void aCordonedServerGetsNoRequestsUntilItIsUncordoned() throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness harness = operated().start(one, two)) {
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.answeredConnections);
            assertEquals("YES\n", harness.controlCall("cordon s0\n"));
            assertEquals("YES\n", harness.controlCall("cordon s0\n"), "repeated");
            // Dropped from the list and named again: the cordon stands.
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
            assertEquals("YES\n", harness.controlCall("uncordon s0\n"), "one call back ends it");
            harness.awaitMetric("node_skipped_app_servers 0");
            assertEquals("YES\n", harness.controlCall("uncordon s0\n"), "not cordoned, but listed");
            int asked = 0;
            while (one.requests.isEmpty()) {
                assertTrue(asked < 10_000, "never used again");
                harness.exchange(Http.pageRequest("/api/x", "u" + asked++, "4000m"));
            }
        }
    }

    @Test
    void aCordonBindsAllProcessesOfANodeAndTheNextProcess(@TempDir Path folder) throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness first = operated();
                NodeHarness second = operated()) {
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
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
            assertTrue(
                    tookMs >= ServerListUpdater.CORDON_PROPAGATION_MILLIS,
                    "no yes before the other process has looked: " + tookMs);
            first.awaitMetric("node_skipped_app_servers 1");
            assertEquals("one", first.exchange(Http.pageRequest("u")).body());
        }
    }

    @Test
    void anUnreadableCordonFileDoesNotStopTheNodeAndAFailedWriteIsRejected(@TempDir Path folder) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = operated()) {
            harness.sharedFolder = folder;
            Files.write(folder.resolve("kitemux.cordons"), new byte[] {(byte) 0xff, (byte) 0xfe, 0});
            harness.start(server);
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
            assertEquals("YES\n", harness.controlCall("cordon s0\n"), "written anew");
            harness.awaitMetric("node_skipped_app_servers 1");
            Files.createDirectory(folder.resolve("kitemux.cordons.new"));
            String answer = harness.controlCall("uncordon s0\n");
            assertTrue(answer.startsWith("NO cordons cannot be kept: "), answer);
            harness.awaitMetric("node_skipped_app_servers 1");
        }
    }
}
