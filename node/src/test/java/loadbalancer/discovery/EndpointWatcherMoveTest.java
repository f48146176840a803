package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.SocketAddresses;
import loadbalancer.process.FakeServer;
import loadbalancer.process.Http;
import loadbalancer.process.NodeHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The discovery service moves to another address. In whatever order the two addresses send lists and stop sending, no
 * list of either is missed and no list is replaced by an older one.
 */
class EndpointWatcherMoveTest {
    private static final WatchTimeouts TIMEOUTS = new WatchTimeouts(300_000, 20_000_000, 60_000_000);

    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    private NodeHarness harness;
    private FakeServer newService;
    private EndpointWatcher discovery;
    private FakeServer.Connection oldConnection;

    /** Opens a watch at the old address that is kept open and has received version 42. */
    @BeforeEach
    void openWatch() throws Exception {
        harness = NodeHarness.withSilentDiscovery();
        newService = silentService();
        start(TIMEOUTS);
        oldConnection = FakeServer.awaitNext(harness.discovery.respondedConnections);
        sendList(oldConnection, 42, false);
        assertEquals("42", FakeServer.awaitNext(notifications));
    }

    @AfterEach
    void close() throws IOException {
        harness.loop.execute(discovery::close);
        newService.close();
        harness.close();
    }

    private void start(WatchTimeouts timeouts) throws Exception {
        discovery = new EndpointWatcher(
                harness.loop,
                harness.config(NodeHarness.endpointList(41, true)).watchConfig(),
                timeouts,
                new EndpointWatcher.Listener() {
                    @Override
                    public void onEndpointList(EndpointList list) {
                        notifications.add(Long.toString(list.version()));
                    }

                    @Override
                    public void onWatchFailed(String reason) {
                        // Not recorded: the tests check which connections are opened next.
                    }
                });
        harness.loop.execute(discovery::keepSubscribed);
    }

    /** Creates a discovery service that sends only what a test writes. */
    private static FakeServer silentService() throws IOException {
        return new FakeServer((request, peer) -> {});
    }

    private void move(FakeServer to) throws Exception {
        moveTo(to.endpoint());
    }

    private void moveTo(String endpoint) throws Exception {
        var to = SocketAddresses.parseOrNull(endpoint);
        harness.loop.execute(() -> discovery.moveTo(to));
    }

    private static String listChunk(int rev, boolean all) {
        return NodeHarness.chunk(NodeHarness.endpointList(rev, all, "s0=10.0.0.1:80=Terminating") + "\n");
    }

    private static void sendList(FakeServer.Connection peer, int rev, boolean all) throws IOException {
        peer.write(listChunk(rev, all));
    }

    private void sendHeadAndList(FakeServer.Connection peer, int rev, boolean all) throws IOException {
        peer.write(NodeHarness.watchResponseHead() + listChunk(rev, all));
    }

    @Test
    void oldAddressIsUsedUntilTheNewOneHasSentAList() throws Exception {
        move(newService);
        FakeServer.Connection newConnection = FakeServer.awaitNext(newService.respondedConnections);
        sendList(oldConnection, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        sendHeadAndList(newConnection, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
        FakeServer.awaitNext(harness.discovery.closedConnections);
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FakeServer.awaitNext(newService.requests).path());
    }

    @Test
    void silentNewAddressIsReconnectedWhileTheOldOneIsUsed() throws Exception {
        move(newService);
        FakeServer.awaitNext(newService.respondedConnections);
        FakeServer.Connection second = FakeServer.awaitNext(newService.respondedConnections);
        sendList(oldConnection, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        sendHeadAndList(second, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void newAddressThatSendsOnlyAResponseHeadIsReconnected() throws Exception {
        move(newService);
        FakeServer.awaitNext(newService.respondedConnections).write(NodeHarness.watchResponseHead());
        sendHeadAndList(FakeServer.awaitNext(newService.respondedConnections), 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
    }

    @Test
    void newAddressThatRefusesConnectionsIsReconnectedUntilItListens() throws Exception {
        // A loopback address that no other test uses, so that no other socket takes the port in the meantime.
        InetAddress isolatedAddress = InetAddress.getByName("127.0.0.77");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, isolatedAddress)) {
            port = free.getLocalPort();
        }
        moveTo("127.0.0.77:" + port);
        // The service closes its old address as it does after a move, before it listens on the new one.
        oldConnection.socket().close();
        harness.loop.submit(() -> {}).sync();
        try (ServerSocket lateService = new ServerSocket(port, 50, isolatedAddress);
                Socket watch = lateService.accept()) {
            Http.readMessage(watch.getInputStream());
            sendHeadAndList(new FakeServer.Connection(watch), 43, false);
            assertEquals("43", FakeServer.awaitNext(notifications));
        }
    }

    @Test
    void olderListsAreIgnoredUntilTheNewAddressHasCaughtUp() throws Exception {
        move(newService);
        FakeServer.Connection newConnection = FakeServer.awaitNext(newService.respondedConnections);
        sendHeadAndList(newConnection, 40, true);
        sendList(newConnection, 41, false);
        // The new address has not caught up, so lists from the old one are still accepted.
        sendList(oldConnection, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        sendList(newConnection, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        FakeServer.awaitNext(harness.discovery.closedConnections);
        sendList(newConnection, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void allServersAreRequestedFromAServiceThatStaysBehind() throws Exception {
        harness.loop.execute(discovery::close);
        start(new WatchTimeouts(20_000_000, 20_000_000, 100_000));
        FakeServer.Connection peer = FakeServer.awaitNext(harness.discovery.respondedConnections);
        sendList(peer, 42, false);
        assertEquals("42", FakeServer.awaitNext(notifications));
        move(newService);
        FakeServer.Connection newConnection = FakeServer.awaitNext(newService.respondedConnections);
        sendHeadAndList(newConnection, 3, true);
        // Heartbeats continue until the node closes the watch.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (sendHeartbeat(newConnection)) {
            assertTrue(System.nanoTime() < end, "the watch on a service that lags is still open");
            Thread.onSpinWait();
        }
        sendHeadAndList(FakeServer.awaitNext(newService.respondedConnections), 3, true);
        assertEquals("3", FakeServer.awaitNext(notifications));
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FakeServer.awaitNext(newService.requests).path());
        assertEquals(
                "/discovery/hosts?watch=1&after=0",
                FakeServer.awaitNext(newService.requests).path());
    }

    /** Sends a heartbeat; returns false if the watch is closed, which the writer sees as a broken pipe. */
    private static boolean sendHeartbeat(FakeServer.Connection peer) {
        try {
            peer.write(NodeHarness.chunk("\n"));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void moveInTheMiddleOfALineLosesNoPartOfIt() throws Exception {
        String line = listChunk(43, false);
        oldConnection.write(line.substring(0, line.length() / 2));
        move(newService);
        FakeServer.Connection newConnection = FakeServer.awaitNext(newService.respondedConnections);
        oldConnection.write(line.substring(line.length() / 2));
        assertEquals("43", FakeServer.awaitNext(notifications));
        oldConnection.write(listChunk(44, false).substring(0, 20));
        sendHeadAndList(newConnection, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void secondMoveKeepsTheWatchThatHasReceivedAMessage() throws Exception {
        try (FakeServer third = silentService()) {
            move(newService);
            FakeServer.awaitNext(newService.respondedConnections);
            move(third);
            FakeServer.Connection last = FakeServer.awaitNext(third.respondedConnections);
            FakeServer.awaitNext(newService.closedConnections);
            sendList(oldConnection, 43, false);
            assertEquals("43", FakeServer.awaitNext(notifications));
            sendHeadAndList(last, 44, false);
            assertEquals("44", FakeServer.awaitNext(notifications));
            FakeServer.awaitNext(harness.discovery.closedConnections);
        }
    }
}
