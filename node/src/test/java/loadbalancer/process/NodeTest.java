package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.ServiceQBalancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A whole node: startup, signals and failures of the balancer. */
class NodeTest {

    /** Returns a balancer that throws the first time it gets this event. */
    private static Balancer failingOnce(Balancer balancer, String event, Throwable failure) {
        boolean[] failed = {false};
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals(event) && !failed[0]) {
                        failed[0] = true;
                        throw failure;
                    }
                    try {
                        return method.invoke(balancer, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    /**
     * Guards against a defect in the balancer that stops the node. The balancer throws on an event of one request. That
     * request must still get a response, and the node must serve the next one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onOutcome"})
    void balancerExceptionCostsOneRequestWhichStillGetsAResponse(String event) throws Exception {
        assertCostsOneRequest(event, new IllegalStateException("thrown by the test"));
    }

    /** The same for an error, as where a class cannot be loaded. */
    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onOutcome"})
    void balancerErrorCostsOneRequestWhichStillGetsAResponse(String event) throws Exception {
        assertCostsOneRequest(event, new NoClassDefFoundError("thrown by the test"));
    }

    private static void assertCostsOneRequest(String event, Throwable failure) throws Exception {
        // The server fails each request, which gives 502. An exception of the balancer gives 500.
        try (FakeServer server = new FakeServer((request, peer) -> peer.write(Http.response("500 No", "", "")));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.balancerFactory =
                    actions -> failingOnce(new ServiceQBalancer(harness.settings, 7, actions), event, failure);
            harness.start(server);
            assertEquals(
                    500, harness.exchange(Http.orderRequest("first", "4000m")).status());
            assertEquals(
                    502, harness.exchange(Http.orderRequest("second", "4000m")).status());
        }
    }

    private static String config(String discovery) {
        return """
                {"listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},
                 "settings":{"classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """.formatted(discovery);
    }

    /** Starts a node whose environment also names this discovery address, as on the platform. */
    private static Process start(Path config, String discovery) throws IOException {
        return NodeProgram.start(
                Map.of("PROXY_CONFIG", config.toString(), "PROXY_DISCOVERY", discovery), "-XX:TieredStopAtLevel=1");
    }

    private static void sendSighup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    void programEndsOnSigtermOnceItHasDrained(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config("127.0.0.1:9"));
        Process process = start(file, "127.0.0.1:9");
        try {
            NodeProgram.awaitLine(process, "level=info event=listening ");
            NodeProgram.assertEndsOnSigterm(process);
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a node that keeps using the old address after discovery has moved, or that applies an incomplete
     * file. The first file is half written at SIGHUP and must change nothing. With the second one, the watch must be
     * opened at the new address, although the environment still names the old one.
     */
    @Test
    void sighupMovesTheWatchToTheDiscoveryAddressOfTheFile(@TempDir Path folder) throws Exception {
        try (FakeServer before = new FakeServer((request, peer) -> peer.write(NodeHarness.watchResponseHead()));
                FakeServer after = new FakeServer((request, peer) -> peer.write(NodeHarness.watchResponseHead()))) {
            Path file = Files.writeString(folder.resolve("config.json"), config(before.endpoint()));
            Process process = start(file, before.endpoint());
            try {
                FakeServer.awaitNext(before.requests);
                Files.writeString(file, "{");
                sendSighup(process);
                NodeProgram.awaitLine(process, "level=warn event=reload_failed reason=\"PROXY_CONFIG is not JSON");
                assertTrue(before.closedConnections.isEmpty(), "an invalid file closed the watch");
                Files.writeString(file, config(after.endpoint()));
                sendSighup(process);
                assertEquals(
                        "/discovery/hosts?watch=1&after=0",
                        FakeServer.awaitNext(after.requests).path());
                FakeServer.awaitNext(before.closedConnections);
                NodeProgram.assertEndsOnSigterm(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against requests to servers that are gone. A server leaves the fleet while a node starts whose
     * configuration still lists it. The node must follow the endpoint list before it serves clients.
     */
    @Test
    void nodeFollowsTheEndpointListBeforeItServesClients() throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.createNode(NodeHarness.endpointList(
                    1, true, "s0=" + one.endpoint() + "=Ready", "s1=" + two.endpoint() + "=Ready"));
            harness.node.followEndpointList();
            FakeServer.awaitNext(harness.discovery.respondedConnections)
                    .write(NodeHarness.chunk(
                            NodeHarness.endpointList(2, false, "s0=" + one.endpoint() + "=Gone") + "\n"));
            harness.awaitMetric("node_known_app_servers 1");
            harness.listen();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "two",
                        harness.exchange(Http.pageRequest("/api/x", "t" + i, "4000m"))
                                .body());
            }
            assertTrue(one.requests.isEmpty());
            assertEquals(1, harness.discovery.requests.size(), "number of watches");
        }
    }
}
