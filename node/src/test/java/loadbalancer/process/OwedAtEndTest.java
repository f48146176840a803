package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is owed where a request meets the end of its node, or a client leaves: {@code docs/acceptance.md}. */
class OwedAtEndTest {
    private static final String ORDER = Http.order("t", "15000m");
    private static final String PAGE = Http.page("/api/p", "t", "15000m");

    /** The node has been told to end, and has ended whatever connection is at rest. */
    private static CountDownLatch drained(Site site) throws Exception {
        Socket resting = site.connect();
        assertEquals(404, Site.ask(resting, Http.page("/nothing", "u", "1m")).status());
        CountDownLatch done = new CountDownLatch(1);
        site.node.drain(done::countDown);
        assertEquals(-1, resting.getInputStream().read());
        resting.close();
        return done;
    }

    private static void assertServedLast(Socket client, String body, CountDownLatch done) throws Exception {
        Http.Message answer = Http.read(client.getInputStream());
        assertEquals(body, answer.body());
        assertEquals("close", answer.headers().get("connection"));
        assertEquals(-1, client.getInputStream().read());
        client.close();
        assertTrue(done.await(20, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @CsvSource({"0, 10", "0, 40", "1, 10", "1, 70", "0, 1"})
    void aRequestHalfReadAtSigtermIsServedOnceItIsWhole(int before, int cut) throws Exception {
        // Behind an answered request or as the first; cut amid the first line, a field, or ahead of the body.
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (int i = 0; i < before; i++) {
                assertEquals(200, Site.ask(client, Http.page("b")).status());
            }
            int at = cut == 1 ? ORDER.length() - 1 : cut;
            Site.write(client, ORDER.substring(0, at));
            site.awaitLoop();
            CountDownLatch done = drained(site);
            Site.write(client, ORDER.substring(at));
            assertServedLast(client, "x", done);
            assertEquals(before + 1, server.requests.size());
        }
    }

    @Test
    void aRequestThatWaitsForAServerAtSigtermIsServed() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start()) {
            Socket client = site.connect();
            Site.write(client, ORDER);
            CountDownLatch done = drained(site);
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            assertServedLast(client, "x", done);
        }
    }

    @Test
    void aRequestThatIsPassedOnAfterSigtermIsServed() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        try (FarServer first = resetting(drains);
                FarServer second = FarServer.serving("x");
                Site site = Site.quiet().start(first)) {
            Socket client = site.connect();
            Site.write(client, PAGE);
            FarServer.next(first.requests);
            CountDownLatch done = drained(site);
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk(Site.list(2, false, "s1=" + second.endpoint() + "=Ready") + "\n"));
            drains.countDown();
            assertServedLast(client, "x", done);
        }
    }

    private static FarServer resetting(CountDownLatch when) throws IOException {
        return new FarServer((request, peer) -> {
            await(when);
            peer.reset();
        });
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void anAnswerThatFlowsAtSigtermIsEnded() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        String half = "a".repeat(100_000);
        try (FarServer server = new FarServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
                    await(drains);
                    peer.write(half);
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, PAGE);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(200, head.status());
            // Its head has gone without a word of the end: the end of the connection tells.
            CountDownLatch done = drained(site);
            drains.countDown();
            assertEquals(200_000, Http.readBody(client.getInputStream(), head).length);
            client.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void nothingIsSentForAClientThatLeavesWhileItsRequestWaits() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet()) {
            site.operated = true;
            site.start();
            Socket client = site.connect();
            Site.write(client, ORDER);
            site.awaitFigure("node_in_progress 1");
            client.close();
            site.awaitFigure("node_in_progress 0");
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk(Site.list(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            assertEquals(200, site.ask(Http.page("/api/p", "next", "15000m")).status());
            assertEquals("next", FarServer.next(server.requests).headers().get("x-txn"));
        }
    }

    /** A client whose request is out at the one server that there is. */
    private static Socket asking(Site site, FarServer server) throws Exception {
        site.operated = true;
        site.start(server);
        Socket client = site.connect();
        Site.write(client, PAGE);
        FarServer.next(server.requests);
        return client;
    }

    private static void join(Site site, FarServer second) throws Exception {
        FarServer.next(site.discovery.peers)
                .write(Site.chunk(Site.list(2, false, "s1=" + second.endpoint() + "=Ready") + "\n"));
        site.awaitFigure("node_known_app_servers 2");
    }

    @Test
    void nothingIsSentForAClientThatLeavesBetweenAttempts() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FarServer first = resetting(reset);
                FarServer second = FarServer.serving("x");
                Site site = Site.quiet()) {
            Socket client = asking(site, first);
            reset.countDown();
            FarServer.next(first.peers);
            // Its one server has failed it: it waits for another.
            site.awaitLoop();
            client.close();
            site.awaitFigure("node_in_progress 0");
            join(site, second);
            site.awaitLoop();
            assertTrue(second.requests.isEmpty());
        }
    }

    @Test
    void nothingIsSentForAClientWhoseRequestAndEndAreReadInOneTurn() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            // A connection to the server that is free: what is sent on it is written at once.
            assertEquals(200, site.ask(Http.page("first")).status());
            Socket open = site.connect();
            Socket late = site.connect();
            site.awaitLoop();
            CountDownLatch release = site.holdLoop();
            for (Socket client : List.of(open, late, site.connect())) {
                Site.write(client, PAGE);
                client.close();
            }
            release.countDown();
            assertEquals(200, site.ask(Http.page("last")).status());
            assertEquals("first", FarServer.next(server.requests).headers().get("x-txn"));
            assertEquals("last", FarServer.next(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void nothingIsPassedOnForAClientWhoseEndIsReadInTheTurnOfTheFailure() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FarServer first = resetting(reset);
                FarServer second = FarServer.serving("x");
                Site site = Site.quiet()) {
            Socket client = asking(site, first);
            join(site, second);
            CountDownLatch release = site.holdLoop();
            reset.countDown();
            FarServer.next(first.peers);
            client.close();
            release.countDown();
            site.awaitFigure("node_in_progress 0");
            site.awaitLoop();
            assertEquals(0, second.connections.get());
        }
    }

    @Test
    void anAnswerAndTheEndOfItsTimeInOneTurnGiveOneAnswer() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> {
                    if ("t0".equals(request.headers().get("x-txn"))) {
                        await(held);
                    }
                    peer.write(Http.ok(request.headers().get("x-txn")));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "t0", "60m"));
            FarServer.next(server.requests);
            CountDownLatch release = site.holdLoop();
            long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(80);
            held.countDown();
            FarServer.next(server.peers);
            while (System.nanoTime() < due) {
                Thread.onSpinWait();
            }
            release.countDown();
            int status = Http.read(client.getInputStream()).status();
            assertTrue(status == 200 || status == 502 || status == 503, "status " + status);
            assertEquals(
                    "t1", Site.ask(client, Http.page("/api/p", "t1", "15000m")).body());
            assertEquals("t2", site.ask(Http.page("/api/p", "t2", "15000m")).body());
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void anAnswerOfNoToldLengthThatIsResetIsNeverWhole(boolean flows) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> {
                    peer.write(
                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nonly a part" + "a".repeat(flows ? 70_000 : 0));
                    if (flows) {
                        await(begun);
                    }
                    peer.reset();
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, ORDER);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(flows ? 200 : 502, head.status());
            begun.countDown();
            if (flows) {
                assertEquals("chunked", head.headers().get("transfer-encoding"));
                boolean whole = true;
                try {
                    Http.readBody(client.getInputStream(), head);
                } catch (IOException e) {
                    whole = false;
                }
                assertFalse(whole, "a cut answer passed for whole");
            }
            assertEquals(1, server.requests.size(), "an order is sent once");
        }
    }

    @Test
    void anAnswerThatNeverEndsEndsWithItsClient() throws Exception {
        try (FarServer server = new FarServer((request, peer) ->
                        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnever\r\n"));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, PAGE);
            assertEquals(200, Http.readHead(client.getInputStream()).status());
            client.close();
            FarServer.next(server.ended);
        }
    }

    @Test
    void anAnswerOfNoToldLengthThatStandsStillIsBrokenOffSoonBehindItsTime() throws Exception {
        try (FarServer server = new FarServer((request, peer) -> {
                    if ("stands".equals(request.headers().get("x-txn"))) {
                        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstill\r\n");
                    }
                });
                Site site = Site.quiet().start(server)) {
            Socket other = site.connect();
            Site.write(other, Http.page("/api/p", "silent", "4000m"));
            FarServer.next(server.requests);
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "stands", "200m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertThrows(IOException.class, () -> Http.readBody(client.getInputStream(), head));
            assertEquals(0, other.getInputStream().available(), "whose time is up long after");
        }
    }

    @Test
    void halfALineFromAServerThatIsBeingLeftHurtsNobody() throws Exception {
        try (FarServer server = new FarServer((request, peer) -> {
                    if (!"t".equals(request.headers().get("x-txn"))) {
                        peer.write(Http.ok("next"));
                    }
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, PAGE);
            FarServer.Peer peer = FarServer.next(server.peers);
            // Both ends in one turn of the loop: the client's, and half an answer's head.
            CountDownLatch release = site.holdLoop();
            peer.write("HTTP/1.1 200 O");
            client.close();
            release.countDown();
            FarServer.next(server.ended);
            assertEquals("next", site.ask(Http.page("u")).body());
        }
    }
}
