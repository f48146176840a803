package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.process.FakeServer;
import loadbalancer.process.Http;
import loadbalancer.process.NodeHarness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the endpoint list, over sockets. */
class EndpointWatcherTest {
    private static final String KNOWN = NodeHarness.endpointList(41, true);
    /** The shortest timeouts that a slow machine allows. */
    private static final WatchTimeouts SHORT_TIMEOUTS = new WatchTimeouts(100_000, 20_000_000, 100_000);

    private static final String ENTRY = "s0=10.0.0.1:80=Ready";

    /** Opens a watch without a node. Each list and each failure is added to the notifications as a string. */
    private static EndpointWatcher watch(
            NodeHarness harness, WatchTimeouts timeouts, BlockingQueue<String> notifications) throws Exception {
        EndpointWatcher discovery = new EndpointWatcher(
                harness.loop, harness.config(KNOWN).watchConfig(), timeouts, new EndpointWatcher.Listener() {
                    @Override
                    public void onEndpointList(EndpointList list) {
                        notifications.add(list.version()
                                + (list.full() ? " all " : " changes ")
                                + list.endpoints().size());
                    }

                    @Override
                    public void onWatchFailed(String reason) {
                        notifications.add("failed");
                    }
                });
        harness.loop.execute(discovery::subscribe);
        return discovery;
    }

    @Test
    void listsAreReadFromChunksAndTheNextWatchRequestsLaterChanges() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            EndpointWatcher discovery = watch(harness, WatchTimeouts.DEFAULT, notifications);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    FakeServer.awaitNext(harness.discovery.requests).path());
            FakeServer.Connection peer = FakeServer.awaitNext(harness.discovery.respondedConnections);
            String line = NodeHarness.endpointList(43, true, ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(NodeHarness.chunk(line.substring(0, 20)));
            peer.write(
                    NodeHarness.chunk(line.substring(20) + "\n\n" + NodeHarness.endpointList(44, false, ENTRY) + "\n"));
            assertEquals("43 all 2", FakeServer.awaitNext(notifications));
            assertEquals("44 changes 1", FakeServer.awaitNext(notifications));
            peer.socket().close();
            assertEquals("failed", FakeServer.awaitNext(notifications));
            harness.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    FakeServer.awaitNext(harness.discovery.requests).path());
        }
    }

    @Test
    void listCutByAResetIsRequestedAgain() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            EndpointWatcher discovery = watch(harness, WatchTimeouts.DEFAULT, notifications);
            FakeServer.Connection peer = FakeServer.awaitNext(harness.discovery.respondedConnections);
            String line = NodeHarness.endpointList(42, false, ENTRY) + "\n";
            peer.write(NodeHarness.chunk(line.substring(0, 30)));
            peer.reset();
            assertEquals("failed", FakeServer.awaitNext(notifications));
            harness.loop.execute(discovery::subscribe);
            FakeServer.awaitNext(harness.discovery.requests);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    FakeServer.awaitNext(harness.discovery.requests).path());
            FakeServer.awaitNext(harness.discovery.respondedConnections).write(NodeHarness.chunk(line));
            assertEquals("42 changes 1", FakeServer.awaitNext(notifications));
        }
    }

    @Test
    void heartbeatAsFirstMessageMeansNoChanges() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            watch(harness, WatchTimeouts.DEFAULT, notifications);
            FakeServer.awaitNext(harness.discovery.respondedConnections)
                    .write(NodeHarness.chunk("\n")
                            + NodeHarness.chunk("\n")
                            + NodeHarness.chunk(NodeHarness.endpointList(42, false, ENTRY) + "\n"));
            assertEquals("41 changes 0", FakeServer.awaitNext(notifications));
            assertEquals("42 changes 1", FakeServer.awaitNext(notifications));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"rev\":42,\"all\":false,\"targets\":[{}]}",
                "{\"rev\":42,\"all\":false\n",
                "{\"rev\":42,\"all\":false,\"targets\":[\n  {\"uid\":\"s0\n\n",
                "[]",
                "{\"rev\":42,\"all\":false,\"targets\":[{\"uid\":\"s\",\"endpoint\":\"x\",\"state\":\"Ready\"}]}",
            })
    void invalidDocumentFailsTheWatch(String line) throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            watch(harness, WatchTimeouts.DEFAULT, notifications);
            FakeServer.awaitNext(harness.discovery.respondedConnections).write(NodeHarness.chunk(line + "\n"));
            assertEquals("failed", FakeServer.awaitNext(notifications));
            FakeServer.awaitNext(harness.discovery.closedConnections);
        }
    }

    @Test
    void indentedListIsReadFromChunks() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            watch(harness, WatchTimeouts.DEFAULT, notifications);
            FakeServer.Connection peer = FakeServer.awaitNext(harness.discovery.respondedConnections);
            String indented = new ObjectMapper()
                            .readTree(NodeHarness.endpointList(42, true, "s\\\"]{=10.0.0.1:80=Ready"))
                            .toPrettyString()
                            .replace("\n", "\r\n")
                    + "\r\n";
            for (int cut = 0; cut < indented.length(); cut += 7) {
                peer.write(NodeHarness.chunk(indented.substring(cut, Math.min(cut + 7, indented.length()))));
            }
            peer.write(NodeHarness.chunk("\n")
                    + NodeHarness.chunk(NodeHarness.endpointList(43, false, ENTRY, ENTRY) + "\n"));
            assertEquals("42 all 1", FakeServer.awaitNext(notifications));
            assertEquals("43 changes 2", FakeServer.awaitNext(notifications));
        }
    }

    @Test
    void malformedResponseHeadFailsTheWatch() throws Exception {
        BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
        try (FakeServer discovery = new FakeServer((request, peer) ->
                        peer.write(NodeHarness.watchResponseHead().replace("OK\r\n", "OK\r\nno colon here\r\n")
                                + NodeHarness.chunk(NodeHarness.endpointList(42, false, ENTRY) + "\n")));
                NodeHarness harness = new NodeHarness(discovery)) {
            watch(harness, WatchTimeouts.DEFAULT, notifications);
            assertEquals("failed", FakeServer.awaitNext(notifications));
        }
    }

    @Test
    void silentWatchFails() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
            watch(harness, SHORT_TIMEOUTS, notifications);
            assertEquals("failed", FakeServer.awaitNext(notifications));
            assertTrue(notifications.isEmpty());
        }
    }

    @Test
    void nodePollsAgainAfterAnErrorResponseAndUsesTheList() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeServer server = FakeServer.respondingWith("x");
                FakeServer discovery = new FakeServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0
                                ? Http.response("503 Busy", "", "")
                                : NodeHarness.watchResponseHead()
                                        + NodeHarness.chunk(
                                                NodeHarness.endpointList(2, true, "s0=" + server.endpoint() + "=Ready")
                                                        + "\n")));
                NodeHarness harness = new NodeHarness(discovery).startWithList(NodeHarness.endpointList(1, true))) {
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void nodeKeepsAWatchOpenAndFollowsPushedChanges() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FakeServer first = FakeServer.respondingWith("first");
                FakeServer second = FakeServer.respondingWith("second");
                FakeServer discovery = new FakeServer((request, peer) -> {
                    FakeServer server = calls.getAndIncrement() == 0 ? first : second;
                    peer.write(NodeHarness.watchResponseHead()
                            + NodeHarness.chunk(NodeHarness.endpointList(
                                            1 + calls.get(),
                                            true,
                                            "s" + calls.get() + "=" + server.endpoint() + "=Ready")
                                    + "\n"));
                });
                NodeHarness harness = new NodeHarness(discovery)) {
            harness.settings.pollsEndpointList = false;
            harness.startWithList(NodeHarness.endpointList(1, true));
            assertEquals(
                    "/discovery/hosts?watch=1&after=1",
                    FakeServer.awaitNext(discovery.requests).path());
            assertEquals(
                    "first",
                    harness.exchange(Http.pageRequest("/api/p", "t", "5000m")).body());
            FakeServer.awaitNext(discovery.respondedConnections).socket().close();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    FakeServer.awaitNext(discovery.requests).path());
            // The node closes the connection to the old server only after it has read the new list.
            FakeServer.awaitNext(first.closedConnections);
            assertEquals(
                    "second",
                    harness.exchange(Http.pageRequest("/api/p", "u", "5000m")).body());
        }
    }

    @Test
    void closedNodeHasNoOpenWatch() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.settings.pollsEndpointList = false;
            harness.startWithList(NodeHarness.endpointList(1, true));
            FakeServer.awaitNext(harness.discovery.requests);
            harness.node.close();
            FakeServer.awaitNext(harness.discovery.closedConnections);
        }
    }
}
