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
import loadbalancer.process.FarServer;
import loadbalancer.process.Http;
import loadbalancer.process.Site;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Discovery moves to another address: no news is missed that either agent has told, in whatever order the two
 * speak and fall silent, and nothing that is known is unlearned.
 */
class EndpointWatcherMoveTest {
    private static final EndpointWatcher.Patience PATIENCE =
            new EndpointWatcher.Patience(300_000, 20_000_000, 60_000_000);

    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private Site site;
    private FarServer next;
    private EndpointWatcher discovery;
    private FarServer.Peer before;

    /** A watch that is kept open, and has heard of version 42 at the first address. */
    @BeforeEach
    void follow() throws Exception {
        site = Site.quiet();
        next = silent();
        start(PATIENCE);
        before = FarServer.next(site.discovery.peers);
        say(before, 42, false);
        assertEquals("42", FarServer.next(told));
    }

    @AfterEach
    void close() throws IOException {
        site.loop.execute(discovery::close);
        next.close();
        site.close();
    }

    private void start(EndpointWatcher.Patience patience) throws Exception {
        discovery = new EndpointWatcher(
                site.loop, site.config(Site.list(41, true)), patience, new EndpointWatcher.Listener() {
                    @Override
                    public void listed(EndpointList list) {
                        told.add(Long.toString(list.version()));
                    }

                    @Override
                    public void failed(String reason) {
                        // Counted by what is opened next.
                    }
                });
        site.loop.execute(discovery::keepSubscribed);
    }

    /** Takes what it is asked and answers only what a test writes. */
    private static FarServer silent() throws IOException {
        return new FarServer((request, peer) -> {});
    }

    private void move(FarServer to) throws Exception {
        moveTo(to.endpoint());
    }

    private void moveTo(String endpoint) throws Exception {
        var to = SocketAddresses.parseOrNull(endpoint);
        site.loop.execute(() -> discovery.moveTo(to));
    }

    private static String line(int rev, boolean all) {
        return Site.chunk(Site.list(rev, all, "s0=10.0.0.1:80=Terminating") + "\n");
    }

    private static void say(FarServer.Peer peer, int rev, boolean all) throws IOException {
        peer.write(line(rev, all));
    }

    private void begin(FarServer.Peer peer, int rev, boolean all) throws IOException {
        peer.write(Site.watchHead() + line(rev, all));
    }

    @Test
    void theOldAddressIsHeardUntilTheNewOneHasSpokenAndThenLeft() throws Exception {
        move(next);
        FarServer.Peer after = FarServer.next(next.peers);
        say(before, 43, false);
        assertEquals("43", FarServer.next(told));
        begin(after, 44, false);
        assertEquals("44", FarServer.next(told));
        FarServer.next(site.discovery.ended);
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FarServer.next(next.requests).path());
    }

    @Test
    void anAddressThatTakesTheWatchAndSaysNothingIsAskedAgainWhileTheOldOneIsHeard() throws Exception {
        move(next);
        FarServer.next(next.peers);
        FarServer.Peer second = FarServer.next(next.peers);
        say(before, 43, false);
        assertEquals("43", FarServer.next(told));
        begin(second, 44, false);
        assertEquals("44", FarServer.next(told));
    }

    @Test
    void anAddressThatOnlyBeginsAnAnswerIsAskedAgain() throws Exception {
        move(next);
        FarServer.next(next.peers).write(Site.watchHead());
        begin(FarServer.next(next.peers), 43, false);
        assertEquals("43", FarServer.next(told));
    }

    @Test
    void anAddressThatRefusesIsAskedUntilItListens() throws Exception {
        // On another address than all else, so that nobody takes its port meanwhile.
        InetAddress apart = InetAddress.getByName("127.0.0.77");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, apart)) {
            port = free.getLocalPort();
        }
        moveTo("127.0.0.77:" + port);
        // The old agent leaves as it does after a move, and the new one comes late.
        before.socket().close();
        site.loop.submit(() -> {}).sync();
        try (ServerSocket late = new ServerSocket(port, 50, apart);
                Socket watch = late.accept()) {
            Http.read(watch.getInputStream());
            begin(new FarServer.Peer(watch), 43, false);
            assertEquals("43", FarServer.next(told));
        }
    }

    @Test
    void anAgentThatLagsUnlearnsNothingAndIsHeardOnceItIsPastWhatIsKnown() throws Exception {
        move(next);
        FarServer.Peer after = FarServer.next(next.peers);
        begin(after, 40, true);
        say(after, 41, false);
        // It has not caught up, so the old one still counts.
        say(before, 43, false);
        assertEquals("43", FarServer.next(told));
        say(after, 43, false);
        assertEquals("43", FarServer.next(told));
        FarServer.next(site.discovery.ended);
        say(after, 44, false);
        assertEquals("44", FarServer.next(told));
    }

    @Test
    void anAgentThatLagsForGoodIsAskedForAllThatItHas() throws Exception {
        site.loop.execute(discovery::close);
        start(new EndpointWatcher.Patience(20_000_000, 20_000_000, 100_000));
        FarServer.Peer peer = FarServer.next(site.discovery.peers);
        say(peer, 42, false);
        assertEquals("42", FarServer.next(told));
        move(next);
        FarServer.Peer after = FarServer.next(next.peers);
        begin(after, 3, true);
        // Its beats go on until it is given up.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (beats(after)) {
            assertTrue(System.nanoTime() < end, "the watch on an agent that lags is still open");
            Thread.onSpinWait();
        }
        begin(FarServer.next(next.peers), 3, true);
        assertEquals("3", FarServer.next(told));
        assertEquals(
                "/discovery/hosts?watch=1&after=42",
                FarServer.next(next.requests).path());
        assertEquals(
                "/discovery/hosts?watch=1&after=0",
                FarServer.next(next.requests).path());
    }

    /** Whether the watch still takes a beat: its end shows to the writer as a broken pipe. */
    private static boolean beats(FarServer.Peer peer) {
        try {
            peer.write(Site.chunk("\n"));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void aMoveAmidALineLosesNothingOfIt() throws Exception {
        String line = line(43, false);
        before.write(line.substring(0, line.length() / 2));
        move(next);
        FarServer.Peer after = FarServer.next(next.peers);
        before.write(line.substring(line.length() / 2));
        assertEquals("43", FarServer.next(told));
        before.write(line(44, false).substring(0, 20));
        begin(after, 44, false);
        assertEquals("44", FarServer.next(told));
    }

    @Test
    void aSecondMoveBeforeTheFirstIsAnsweredLeavesTheOneThatSpokeOpen() throws Exception {
        try (FarServer third = silent()) {
            move(next);
            FarServer.next(next.peers);
            move(third);
            FarServer.Peer last = FarServer.next(third.peers);
            FarServer.next(next.ended);
            say(before, 43, false);
            assertEquals("43", FarServer.next(told));
            begin(last, 44, false);
            assertEquals("44", FarServer.next(told));
            FarServer.next(site.discovery.ended);
        }
    }
}
