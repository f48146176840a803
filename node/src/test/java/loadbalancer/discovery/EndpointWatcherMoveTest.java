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
 * The discovery service moves to another address. No list of either address is missed, in whatever order the two write
 * and fall silent, and no list is replaced by an older one.
 */
class EndpointWatcherMoveTest {
    private static final WatchTimeouts TIMEOUTS = new WatchTimeouts(300_000, 20_000_000, 60_000_000);

    private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    private NodeHarness harness;
    private FakeServer next;
    private EndpointWatcher discovery;
    private FakeServer.Connection before;

    /** A watch that is kept open, and has heard of version 42 at the first address. */
    @BeforeEach
    void follow() throws Exception {
        harness = NodeHarness.withSilentDiscovery();
        next = silent();
        start(TIMEOUTS);
        before = FakeServer.awaitNext(harness.discovery.respondedConnections);
        say(before, 42, false);
        assertEquals("42", FakeServer.awaitNext(notifications));
    }

    @AfterEach
    void close() throws IOException {
        harness.loop.execute(discovery::close);
        next.close();
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
                        // Counted by what is opened next.
                    }
                });
        harness.loop.execute(discovery::keepSubscribed);
    }

    /** Takes what it is asked and answers only what a test writes. */
    private static FakeServer silent() throws IOException {
        return new FakeServer((request, peer) -> {});
    }

    private void move(FakeServer to) throws Exception {
        moveTo(to.endpoint());
    }

    private void moveTo(String endpoint) throws Exception {
        var to = SocketAddresses.parseOrNull(endpoint);
        harness.loop.execute(() -> discovery.moveTo(to));
    }

    private static String line(int rev, boolean all) {
        return NodeHarness.chunk(NodeHarness.endpointList(rev, all, "s0=10.0.0.1:80=Terminating") + "\n");
    }

    private static void say(FakeServer.Connection peer, int rev, boolean all) throws IOException {
        peer.write(line(rev, all));
    }

    private void begin(FakeServer.Connection peer, int rev, boolean all) throws IOException {
        peer.write(NodeHarness.watchResponseHead() + line(rev, all));
    }

    @Test
    void theOldAddressCountsUntilTheNewOneHasAnswered() throws Exception {
        move(next);
        FakeServer.Connection after = FakeServer.awaitNext(next.respondedConnections);
        say(before, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        begin(after, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
        FakeServer.awaitNext(harness.discovery.closedConnections);
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FakeServer.awaitNext(next.requests).path());
    }

    @Test
    void aSilentNewAddressIsConnectedAgainWhileTheOldOneCounts() throws Exception {
        move(next);
        FakeServer.awaitNext(next.respondedConnections);
        FakeServer.Connection second = FakeServer.awaitNext(next.respondedConnections);
        say(before, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        begin(second, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void aNewAddressThatSendsOnlyAHeadIsConnectedAgain() throws Exception {
        move(next);
        FakeServer.awaitNext(next.respondedConnections).write(NodeHarness.watchResponseHead());
        begin(FakeServer.awaitNext(next.respondedConnections), 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
    }

    @Test
    void aNewAddressThatRefusesIsConnectedAgainUntilItListens() throws Exception {
        // On another address than all else, so that nobody takes its port meanwhile.
        InetAddress apart = InetAddress.getByName("127.0.0.77");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, apart)) {
            port = free.getLocalPort();
        }
        moveTo("127.0.0.77:" + port);
        // The old agent leaves as it does after a move, and the new one comes late.
        before.socket().close();
        harness.loop.submit(() -> {}).sync();
        try (ServerSocket late = new ServerSocket(port, 50, apart);
                Socket watch = late.accept()) {
            Http.readMessage(watch.getInputStream());
            begin(new FakeServer.Connection(watch), 43, false);
            assertEquals("43", FakeServer.awaitNext(notifications));
        }
    }

    @Test
    void anOlderListIsIgnoredUntilTheNewAddressHasCaughtUp() throws Exception {
        move(next);
        FakeServer.Connection after = FakeServer.awaitNext(next.respondedConnections);
        begin(after, 40, true);
        say(after, 41, false);
        // It has not caught up, so the old one still counts.
        say(before, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        say(after, 43, false);
        assertEquals("43", FakeServer.awaitNext(notifications));
        FakeServer.awaitNext(harness.discovery.closedConnections);
        say(after, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void aServiceThatStaysBehindIsAskedForAll() throws Exception {
        harness.loop.execute(discovery::close);
        start(new WatchTimeouts(20_000_000, 20_000_000, 100_000));
        FakeServer.Connection peer = FakeServer.awaitNext(harness.discovery.respondedConnections);
        say(peer, 42, false);
        assertEquals("42", FakeServer.awaitNext(notifications));
        move(next);
        FakeServer.Connection after = FakeServer.awaitNext(next.respondedConnections);
        begin(after, 3, true);
        // Its beats go on until it is given up.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (beats(after)) {
            assertTrue(System.nanoTime() < end, "the watch on an agent that lags is still open");
            Thread.onSpinWait();
        }
        begin(FakeServer.awaitNext(next.respondedConnections), 3, true);
        assertEquals("3", FakeServer.awaitNext(notifications));
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FakeServer.awaitNext(next.requests).path());
        assertEquals(
                "/discovery/hosts?watch=1&after=0",
                FakeServer.awaitNext(next.requests).path());
    }

    /** Whether the watch still takes a beat: its end shows to the writer as a broken pipe. */
    private static boolean beats(FakeServer.Connection peer) {
        try {
            peer.write(NodeHarness.chunk("\n"));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void aMoveAmidALineLosesNoPartOfIt() throws Exception {
        String line = line(43, false);
        before.write(line.substring(0, line.length() / 2));
        move(next);
        FakeServer.Connection after = FakeServer.awaitNext(next.respondedConnections);
        before.write(line.substring(line.length() / 2));
        assertEquals("43", FakeServer.awaitNext(notifications));
        before.write(line(44, false).substring(0, 20));
        begin(after, 44, false);
        assertEquals("44", FakeServer.awaitNext(notifications));
    }

    @Test
    void aSecondMoveKeepsTheWatchThatHasBeenAnswered() throws Exception {
        try (FakeServer third = silent()) {
            move(next);
            FakeServer.awaitNext(next.respondedConnections);
            move(third);
            FakeServer.Connection last = FakeServer.awaitNext(third.respondedConnections);
            FakeServer.awaitNext(next.closedConnections);
            say(before, 43, false);
            assertEquals("43", FakeServer.awaitNext(notifications));
            begin(last, 44, false);
            assertEquals("44", FakeServer.awaitNext(notifications));
            FakeServer.awaitNext(harness.discovery.closedConnections);
        }
    }
}
