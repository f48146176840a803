package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.Main;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.ServiceQBalancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node as a whole. */
class NodeTest {

    /** A module that breaks the first time that it is told of this event. */
    private static Balancer breaking(Balancer sound, String event) {
        boolean[] broken = {false};
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals(event) && !broken[0]) {
                        broken[0] = true;
                        throw new IllegalStateException("broken for the test");
                    }
                    try {
                        return method.invoke(sound, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onOutcome"})
    void anExceptionCostsOneRequestAndStillAnswersIt(String event) throws Exception {
        // Neither answer is a success, so that the node owes the client its own.
        try (FakeServer server = new FakeServer((request, peer) -> peer.write(Http.response("500 No", "", "")));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.balancerFactory = actions -> breaking(new ServiceQBalancer(harness.settings, 7, actions), event);
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

    /** The program itself, started with this configuration and, as in service, told of discovery twice. */
    private static Process program(Path config, String discovery) throws IOException {
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(
                java,
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "node");
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_DISCOVERY", discovery);
        return builder.redirectErrorStream(true).start();
    }

    /** Reads on to a line that starts so; what the watch on discovery says may come before it. */
    private static void awaitLine(Process process, String start) throws IOException {
        String line;
        do {
            line = process.inputReader().readLine();
            assertNotNull(line, "the program has ended without a line that starts with " + start);
        } while (!line.startsWith(start));
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private static void endsOnSigterm(Process process) throws InterruptedException {
        process.destroy();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue(), "ended by SIGTERM in good order");
    }

    @Test
    void theProgramEndsOnSigtermOnceNothingIsHeld(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config("127.0.0.1:9"));
        Process process = program(file, "127.0.0.1:9");
        try {
            awaitLine(process, "level=info event=listening ");
            endsOnSigterm(process);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void sighupMovesTheWatchToWhereTheFileSaysDiscoveryIs(@TempDir Path folder) throws Exception {
        try (FakeServer before = new FakeServer((request, peer) -> peer.write(NodeHarness.watchResponseHead()));
                FakeServer after = new FakeServer((request, peer) -> peer.write(NodeHarness.watchResponseHead()))) {
            Path file = Files.writeString(folder.resolve("config.json"), config(before.endpoint()));
            Process process = program(file, before.endpoint());
            try {
                FakeServer.awaitNext(before.requests);
                Files.writeString(file, "{");
                hangUp(process);
                awaitLine(process, "level=warn event=reload_failed reason=\"PROXY_CONFIG is not JSON");
                assertTrue(before.closedConnections.isEmpty(), "a file that cannot be read changes nothing");
                Files.writeString(file, config(after.endpoint()));
                hangUp(process);
                assertEquals(
                        "/discovery/hosts?watch=1&after=0",
                        FakeServer.awaitNext(after.requests).path());
                FakeServer.awaitNext(before.closedConnections);
                endsOnSigterm(process);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards a day on which nodes that had just started sent to servers that drained while they did. */
    @Test
    void aNodeHearsOfDrainsBeforeItServesClients() throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.createNode(NodeHarness.endpointList(
                    1, true, "s0=" + one.endpoint() + "=Ready", "s1=" + two.endpoint() + "=Ready"));
            harness.node.followEndpointList();
            FakeServer.awaitNext(harness.discovery.answeredConnections)
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
            assertEquals(1, harness.discovery.requests.size(), "one watch");
        }
    }
}
