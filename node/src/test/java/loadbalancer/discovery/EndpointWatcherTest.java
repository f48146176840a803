package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.process.FarServer;
import loadbalancer.process.Http;
import loadbalancer.process.Site;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The watch on the list. */
class EndpointWatcherTest {
    private static final String KNOWN = Site.list(41, true);
    /** As short as a slow machine allows. */
    private static final EndpointWatcher.Patience BRIEF = new EndpointWatcher.Patience(100_000, 20_000_000, 100_000);

    private static final String ENTRY = "s0=10.0.0.1:80=Ready";

    /** A watch alone; what it tells comes as a line. */
    private static EndpointWatcher watch(Site site, EndpointWatcher.Patience patience, BlockingQueue<String> told)
            throws Exception {
        EndpointWatcher discovery =
                new EndpointWatcher(site.loop, site.config(KNOWN), patience, new EndpointWatcher.Listener() {
                    @Override
                    public void listed(EndpointList list) {
                        told.add(list.version()
                                + (list.full() ? " all " : " changes ")
                                + list.endpoints().size());
                    }

                    @Override
                    public void failed(String reason) {
                        told.add("failed");
                    }
                });
        site.loop.execute(discovery::subscribe);
        return discovery;
    }

    @Test
    void listsComeInPiecesAndTheNextWatchGoesOnFromTheLast() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            EndpointWatcher discovery = watch(site, EndpointWatcher.Patience.USUAL, told);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    FarServer.next(site.discovery.requests).path());
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String line = Site.list(43, true, ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(Site.chunk(line.substring(0, 20)));
            peer.write(Site.chunk(line.substring(20) + "\n\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("43 all 2", FarServer.next(told));
            assertEquals("44 changes 1", FarServer.next(told));
            peer.socket().close();
            assertEquals("failed", FarServer.next(told));
            site.loop.execute(discovery::subscribe);
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    FarServer.next(site.discovery.requests).path());
        }
    }

    @Test
    void aWatchThatIsResetAmidALineIsAskedForThatLineAgain() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            EndpointWatcher discovery = watch(site, EndpointWatcher.Patience.USUAL, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String line = Site.list(42, false, ENTRY) + "\n";
            peer.write(Site.chunk(line.substring(0, 30)));
            peer.reset();
            assertEquals("failed", FarServer.next(told));
            site.loop.execute(discovery::subscribe);
            FarServer.next(site.discovery.requests);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    FarServer.next(site.discovery.requests).path());
            FarServer.next(site.discovery.peers).write(Site.chunk(line));
            assertEquals("42 changes 1", FarServer.next(told));
        }
    }

    @Test
    void aBeatAsTheFirstWordSaysThatNothingHasChanged() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, EndpointWatcher.Patience.USUAL, told);
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk("\n") + Site.chunk("\n") + Site.chunk(Site.list(42, false, ENTRY) + "\n"));
            assertEquals("41 changes 0", FarServer.next(told));
            assertEquals("42 changes 1", FarServer.next(told));
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
    void aBadLineBreaksTheWatch(String line) throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, EndpointWatcher.Patience.USUAL, told);
            FarServer.next(site.discovery.peers).write(Site.chunk(line + "\n"));
            assertEquals("failed", FarServer.next(told));
            FarServer.next(site.discovery.ended);
        }
    }

    @Test
    void aListMayComeIndentedAndInPieces() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, EndpointWatcher.Patience.USUAL, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String indented = new ObjectMapper()
                            .readTree(Site.list(42, true, "s\\\"]{=10.0.0.1:80=Ready"))
                            .toPrettyString()
                            .replace("\n", "\r\n")
                    + "\r\n";
            for (int cut = 0; cut < indented.length(); cut += 7) {
                peer.write(Site.chunk(indented.substring(cut, Math.min(cut + 7, indented.length()))));
            }
            peer.write(Site.chunk("\n") + Site.chunk(Site.list(43, false, ENTRY, ENTRY) + "\n"));
            assertEquals("42 all 1", FarServer.next(told));
            assertEquals("43 changes 2", FarServer.next(told));
        }
    }

    @Test
    void aHeadThatCannotBeReadBreaksTheWatch() throws Exception {
        BlockingQueue<String> told = new LinkedBlockingQueue<>();
        try (FarServer discovery = new FarServer(
                        (request, peer) -> peer.write(Site.watchHead().replace("OK\r\n", "OK\r\nno colon here\r\n")
                                + Site.chunk(Site.list(42, false, ENTRY) + "\n")));
                Site site = new Site(discovery)) {
            watch(site, EndpointWatcher.Patience.USUAL, told);
            assertEquals("failed", FarServer.next(told));
        }
    }

    @Test
    void aSilentWatchIsBroken() throws Exception {
        try (Site site = Site.quiet()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, BRIEF, told);
            assertEquals("failed", FarServer.next(told));
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aNodeAsksAgainAfterARefusalAndThenUsesTheList() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FarServer server = FarServer.serving("x");
                FarServer discovery = new FarServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0
                                ? Http.answer("503 Busy", "", "")
                                : Site.watchHead()
                                        + Site.chunk(
                                                Site.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                Site site = new Site(discovery).startKnowing(Site.list(1, true))) {
            assertEquals(200, site.ask(Http.page("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void changesThatArePushedComeByAWatchThatTheNodeKeepsOpen() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FarServer first = FarServer.serving("first");
                FarServer second = FarServer.serving("second");
                FarServer discovery = new FarServer((request, peer) -> {
                    FarServer server = calls.getAndIncrement() == 0 ? first : second;
                    peer.write(Site.watchHead()
                            + Site.chunk(Site.list(
                                            1 + calls.get(),
                                            true,
                                            "s" + calls.get() + "=" + server.endpoint() + "=Ready")
                                    + "\n"));
                });
                Site site = new Site(discovery)) {
            site.settings.pollsEndpointList = false;
            site.startKnowing(Site.list(1, true));
            assertEquals(
                    "/discovery/hosts?watch=1&after=1",
                    FarServer.next(discovery.requests).path());
            assertEquals("first", site.ask(Http.page("/api/p", "t", "5000m")).body());
            FarServer.next(discovery.peers).socket().close();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    FarServer.next(discovery.requests).path());
            // The node reads the new list before it can end the old server's connection.
            FarServer.next(first.ended);
            assertEquals("second", site.ask(Http.page("/api/p", "u", "5000m")).body());
        }
    }

    @Test
    void aClosedNodeLeavesNoWatchOpen() throws Exception {
        try (Site site = Site.quiet()) {
            site.settings.pollsEndpointList = false;
            site.startKnowing(Site.list(1, true));
            FarServer.next(site.discovery.requests);
            site.node.close();
            FarServer.next(site.discovery.ended);
        }
    }

    @Test
    void nodesThatLostDiscoveryTogetherComeBackApartAndNoFasterThanItCanBear() {
        assertEquals(500, EndpointWatcher.jittered(1_000, 0));
        assertEquals(750, EndpointWatcher.jittered(1_000, 0.5));
        assertEquals(1_000, EndpointWatcher.mostBackoffMs(3));
        assertEquals(1_400, EndpointWatcher.mostBackoffMs(14));
        assertEquals(3_000, EndpointWatcher.mostBackoffMs(200));
    }
}
