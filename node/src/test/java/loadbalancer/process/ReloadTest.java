package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.NodeConfigReader;
import loadbalancer.config.ReloadedConfigReader;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reloads of the configuration file while the node serves requests. */
class ReloadTest {
    private static final String CLASS =
            "{\"name\":\"%s\",\"onTimeUs\":1000000,\"giveUpUs\":%d,\"repeat\":\"%s\",\"importance\":2.0}";
    private static final String PAGE = CLASS.formatted("page", 5_000_000, "safe");
    private static final String ORDER = CLASS.formatted("order", 5_000_000, "unsafe");

    @TempDir
    private Path folder;

    private Map<String, String> env;

    @BeforeEach
    void setEnvironment() {
        env = Map.of("PROXY_CONFIG", folder.resolve("config.json").toString(), "PROXY_DISCOVERY", "127.0.0.1:9");
    }

    private static String configText(NodeHarness harness, int attempts, String... classes) {
        return """
                {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"7",
                 "limits":{"memory_mb":128,"sockets":256},
                 "settings":{"zones":["here"],"limits":{"attemptsCap":%d,"cancelling":true},
                  "rules":{"drainGraceUs":1000000},"classes":[%s]}}
                """.formatted(harness.discovery.endpoint(), attempts, String.join(",", classes));
    }

    private void write(String text) throws Exception {
        Files.writeString(folder.resolve("config.json"), text);
    }

    /** Starts a node with this configuration file and these servers. */
    private NodeHarness start(NodeHarness harness, String text, FakeServer... servers) throws Exception {
        write(text);
        harness.hasControl = true;
        harness.settings.classes.clear();
        harness.settings.classes.addAll(NodeConfigReader.read(env).settings().classes);
        harness.configuredKeys = NodeConfigReader.read(env).configuredKeys();
        return harness.start(servers);
    }

    /** Reloads the file as SIGHUP does, and waits until the reload is finished. */
    private void reload(NodeHarness harness, String text) throws Exception {
        write(text);
        harness.node.reload(env);
        harness.loop.submit(() -> {}).sync();
    }

    @Test
    void classesAndTheirMetricsAreAddedAndDropped() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            start(harness, configText(harness, 4, PAGE, ORDER), server);
            String note = Http.orderRequest("t", "4000m").replace("X-Lane: order", "X-Lane: note");
            assertEquals(400, harness.exchange(note).status());
            // The class order first gets another deadline, and is then dropped.
            reload(harness, configText(harness, 4, PAGE, CLASS.formatted("order", 200_000, "unsafe")));
            reload(harness, configText(harness, 4, PAGE, CLASS.formatted("note", 5_000_000, "unsafe")));
            assertEquals(200, harness.exchange(note).status());
            assertEquals(
                    200,
                    harness.exchange(Http.orderRequest("old", "4000m")).status(),
                    "clients may still retry requests of the dropped class");
            harness.awaitMetric("node_handled{category=\"note\",outcome=\"passed\"} 1");
            harness.awaitMetric("node_handled{category=\"order\",outcome=\"passed\"} 1");
            harness.awaitMetric("node_loads 2");
            harness.awaitMetric("node_load_errors 0");
        }
    }

    @Test
    void aDroppedClassIsRejectedOnceItsDeadlineHasPassed() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            start(harness, configText(harness, 4, PAGE, CLASS.formatted("order", 200_000, "unsafe")), server);
            reload(harness, configText(harness, 4, PAGE));
            int tries = 0;
            while (harness.exchange(Http.orderRequest("t" + tries, "150m")).status() != 400) {
                assertTrue(tries++ < 100_000, "the dropped class is still served");
            }
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
        }
    }

    @Test
    void anOpenRequestIsRetriedByTheRulesAtItsArrival() throws Exception {
        CountDownLatch arrived = new CountDownLatch(2);
        CountDownLatch resetAllowed = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    arrived.countDown();
                    try {
                        resetAllowed.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    peer.reset();
                });
                FakeServer other = FakeServer.respondingWith("other");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            start(harness, configText(harness, 4, PAGE, ORDER), server);
            Socket page = harness.connect();
            NodeHarness.write(page, Http.pageRequest("/api/x", "p", "5000m"));
            Socket order = harness.connect();
            NodeHarness.write(order, Http.orderRequest("o", "5000m"));
            arrived.await();
            // Class page becomes unsafe, class order becomes safe, and only one attempt is allowed.
            reload(
                    harness,
                    configText(
                            harness,
                            1,
                            CLASS.formatted("page", 5_000_000, "unsafe"),
                            CLASS.formatted("order", 5_000_000, "safe")));
            FakeServer.Connection watch = FakeServer.awaitNext(harness.discovery.respondedConnections);
            watch.write(
                    NodeHarness.chunk(NodeHarness.endpointList(2, false, "s1=" + other.endpoint() + "=Ready") + "\n"));
            harness.awaitMetric("node_known_app_servers 2");
            resetAllowed.countDown();
            assertEquals(
                    "other",
                    Http.readMessage(page.getInputStream()).body(),
                    "the class was safe when the request arrived");
            assertEquals(
                    502,
                    Http.readMessage(order.getInputStream()).status(),
                    "the class was unsafe when the request arrived");
            // Requests of class order are now accepted under its new rules (GET) and under its old rules (POST).
            for (String orderRequest :
                    new String[] {Http.pageRequest("/api/x", "q", "5000m"), Http.orderRequest("r", "5000m")}) {
                assertNotEquals(
                        400,
                        harness.exchange(orderRequest.replace("page\r", "order\r"))
                                .status());
            }
        }
    }

    /**
     * Guards against a failed reload if SIGHUP arrives before the file is completely written. The file must be loaded
     * once, and must not count as an error.
     */
    @Test
    void aFileThatIsStillBeingWrittenIsLoadedWhenItIsComplete() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            String text = configText(harness, 4, PAGE, ORDER);
            start(harness, text, server);
            write(text.substring(0, text.length() / 2));
            Thread signal = new Thread(() -> harness.node.reload(env));
            signal.start();
            // Waits until the reload has read the incomplete file and waits to read it again, or has failed.
            while (signal.getState() != Thread.State.TIMED_WAITING && signal.isAlive()) {
                Thread.onSpinWait();
            }
            write(text);
            signal.join();
            harness.awaitMetric("node_loads 1");
            harness.awaitMetric("node_load_errors 0");
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "(?s).* | `` | PROXY_CONFIG is empty",
                "(?s)\"classes.* | `` | PROXY_CONFIG is not JSON",
                "\"giveUpUs\":5000000, | `` | settings.classes.0.giveUpUs is missing",
                "\"giveUpUs\":5000000 | \"giveUpUs\":0 | settings.classes.0.giveUpUs is not a positive integer: 0",
                "\"giveUpUs\":5000000 | \"giveUpUs\":-5 | settings.classes.0.giveUpUs is not a positive integer: -5",
                "\"giveUpUs\":5000000 | \"giveUpUs\":\"soon\" | settings.classes.0.giveUpUs is not a number: soon",
                "\"giveUpUs\":5000000 | \"giveUpUs\":null | settings.classes.0.giveUpUs is missing",
                "\"attemptsCap\":4 | \"attemptsCap\":0 | settings.limits.attemptsCap is not a positive integer: 0",
                "attemptsCap\":4 | attemptsCap\":1.5 | settings.limits.attemptsCap is not a positive integer: 1.5",
                "\"attemptsCap\":4, | `` | settings.limits.attemptsCap is missing",
                "\"attemptsCap\":4 | \"attemptsCap\":true | settings.limits.attemptsCap is not a number: true",
                "\"rules\":[^}]*} | \"rules\":{} | settings.rules.drainGraceUs is missing",
                ",\"importance\":2.0 | `` | settings.classes[].importance is missing",
                "\"classes\":.* | \"classes\":[]}} | settings: classes is empty",
                "\"name\":\"order\" | \"name\":\"page\" | settings.classes has two classes named page",
                "\"discovery\":\"[^\"]*\", | `` | discovery is not address:port",
                "\"discovery\":\"[^\"]*\" | \"discovery\":\"nowhere\" | discovery is not address:port: nowhere",
                "\"settings\" | \"sittings\" | settings is missing",
                "\"name\":\"n0\", | `` | name is missing",
                "\"memory_mb\":128, | `` | limits.memory_mb is missing",
            })
    void anInvalidFileChangesNothingAndIsCounted(String pattern, String replacement, String reason) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                FakeServer moved = FakeServer.respondingWith("");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            String before = configText(harness, 4, PAGE, ORDER);
            start(harness, before, server);
            NodeConfig running = harness.config(NodeHarness.endpointList(1, true));
            reload(
                    harness,
                    before.replace(harness.discovery.endpoint(), moved.endpoint())
                            .replaceFirst(pattern, replacement));
            ConfigException e = assertThrows(ConfigException.class, () -> ReloadedConfigReader.read(running, env));
            assertTrue(e.getMessage().startsWith(reason), e.getMessage());
            harness.awaitMetric("node_load_errors 1");
            harness.awaitMetric("node_loads 0");
            assertEquals(200, harness.exchange(Http.pageRequest("t")).status());
            assertEquals(0, moved.connectionCount.get(), "connections to the discovery address of the invalid file");
        }
    }
}
