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
    private static final String ORDER = Http.orderRequest("t", "15000m");
    private static final String PAGE = Http.pageRequest("/api/p", "t", "15000m");

    /** The node has been told to end, and has ended whatever connection is at rest. */
    private static CountDownLatch drained(NodeHarness harness) throws Exception {
        Socket resting = harness.connect();
        assertEquals(
                404,
                NodeHarness.exchange(resting, Http.pageRequest("/nothing", "u", "1m"))
                        .status());
        CountDownLatch done = new CountDownLatch(1);
        harness.node.drain(done::countDown);
        assertEquals(-1, resting.getInputStream().read());
        resting.close();
        return done;
    }

    private static void assertServedLast(Socket client, String body, CountDownLatch done) throws Exception {
        Http.Message answer = Http.readMessage(client.getInputStream());
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
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            for (int i = 0; i < before; i++) {
                assertEquals(
                        200, NodeHarness.exchange(client, Http.pageRequest("b")).status());
            }
            int at = cut == 1 ? ORDER.length() - 1 : cut;
            NodeHarness.write(client, ORDER.substring(0, at));
            harness.awaitEventLoop();
            CountDownLatch done = drained(harness);
            NodeHarness.write(client, ORDER.substring(at));
            assertServedLast(client, "x", done);
            assertEquals(before + 1, server.requests.size());
        }
    }

    @Test
    void aRequestThatWaitsForAServerAtSigtermIsServed() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start()) {
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
            CountDownLatch done = drained(harness);
            FakeServer.awaitNext(harness.discovery.answeredConnections)
                    .write(NodeHarness.chunk(
                            NodeHarness.endpointList(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            assertServedLast(client, "x", done);
        }
    }

    @Test
    void aRequestThatIsPassedOnAfterSigtermIsServed() throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        try (FakeServer first = resetting(drains);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(first)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.awaitNext(first.requests);
            CountDownLatch done = drained(harness);
            FakeServer.awaitNext(harness.discovery.answeredConnections)
                    .write(NodeHarness.chunk(
                            NodeHarness.endpointList(2, false, "s1=" + second.endpoint() + "=Ready") + "\n"));
            drains.countDown();
            assertServedLast(client, "x", done);
        }
    }

    private static FakeServer resetting(CountDownLatch when) throws IOException {
        return new FakeServer((request, peer) -> {
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
        try (FakeServer server = new FakeServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + half);
                    await(drains);
                    peer.write(half);
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(200, head.status());
            // Its head has gone without a word of the end: the end of the connection tells.
            CountDownLatch done = drained(harness);
            drains.countDown();
            assertEquals(200_000, Http.readBody(client.getInputStream(), head).length);
            client.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void nothingIsSentForAClientThatLeavesWhileItsRequestWaits() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start();
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
            harness.awaitMetric("node_in_progress 1");
            client.close();
            harness.awaitMetric("node_in_progress 0");
            FakeServer.awaitNext(harness.discovery.answeredConnections)
                    .write(NodeHarness.chunk(
                            NodeHarness.endpointList(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
            assertEquals(
                    200,
                    harness.exchange(Http.pageRequest("/api/p", "next", "15000m"))
                            .status());
            assertEquals("next", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    /** A client whose request is out at the one server that there is. */
    private static Socket asking(NodeHarness harness, FakeServer server) throws Exception {
        harness.hasControl = true;
        harness.start(server);
        Socket client = harness.connect();
        NodeHarness.write(client, PAGE);
        FakeServer.awaitNext(server.requests);
        return client;
    }

    private static void join(NodeHarness harness, FakeServer second) throws Exception {
        FakeServer.awaitNext(harness.discovery.answeredConnections)
                .write(NodeHarness.chunk(
                        NodeHarness.endpointList(2, false, "s1=" + second.endpoint() + "=Ready") + "\n"));
        harness.awaitMetric("node_known_app_servers 2");
    }

    @Test
    void nothingIsSentForAClientThatLeavesBetweenAttempts() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FakeServer first = resetting(reset);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = asking(harness, first);
            reset.countDown();
            FakeServer.awaitNext(first.answeredConnections);
            // Its one server has failed it: it waits for another.
            harness.awaitEventLoop();
            client.close();
            harness.awaitMetric("node_in_progress 0");
            join(harness, second);
            harness.awaitEventLoop();
            assertTrue(second.requests.isEmpty());
        }
    }

    @Test
    void nothingIsSentForAClientWhoseRequestAndEndAreReadInOneTurn() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            // A connection to the server that is free: what is sent on it is written at once.
            assertEquals(200, harness.exchange(Http.pageRequest("first")).status());
            Socket open = harness.connect();
            Socket late = harness.connect();
            harness.awaitEventLoop();
            CountDownLatch release = harness.blockEventLoop();
            for (Socket client : List.of(open, late, harness.connect())) {
                NodeHarness.write(client, PAGE);
                client.close();
            }
            release.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("last")).status());
            assertEquals(
                    "first", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            assertEquals("last", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void nothingIsPassedOnForAClientWhoseEndIsReadInTheTurnOfTheFailure() throws Exception {
        CountDownLatch reset = new CountDownLatch(1);
        try (FakeServer first = resetting(reset);
                FakeServer second = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            Socket client = asking(harness, first);
            join(harness, second);
            CountDownLatch release = harness.blockEventLoop();
            reset.countDown();
            FakeServer.awaitNext(first.answeredConnections);
            client.close();
            release.countDown();
            harness.awaitMetric("node_in_progress 0");
            harness.awaitEventLoop();
            assertEquals(0, second.connectionCount.get());
        }
    }

    @Test
    void anAnswerAndTheEndOfItsTimeInOneTurnGiveOneAnswer() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    if ("t0".equals(request.headers().get("x-txn"))) {
                        await(held);
                    }
                    peer.write(Http.okResponse(request.headers().get("x-txn")));
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "t0", "60m"));
            FakeServer.awaitNext(server.requests);
            CountDownLatch release = harness.blockEventLoop();
            long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(80);
            held.countDown();
            FakeServer.awaitNext(server.answeredConnections);
            while (System.nanoTime() < due) {
                Thread.onSpinWait();
            }
            release.countDown();
            int status = Http.readMessage(client.getInputStream()).status();
            assertTrue(status == 200 || status == 502 || status == 503, "status " + status);
            assertEquals(
                    "t1",
                    NodeHarness.exchange(client, Http.pageRequest("/api/p", "t1", "15000m"))
                            .body());
            assertEquals(
                    "t2",
                    harness.exchange(Http.pageRequest("/api/p", "t2", "15000m")).body());
        }
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void anAnswerOfNoToldLengthThatIsResetIsNeverWhole(boolean flows) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (FakeServer server = new FakeServer((request, peer) -> {
                    peer.write(
                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nonly a part" + "a".repeat(flows ? 70_000 : 0));
                    if (flows) {
                        await(begun);
                    }
                    peer.reset();
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, ORDER);
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
        try (FakeServer server = new FakeServer((request, peer) ->
                        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nnever\r\n"));
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            assertEquals(200, Http.readHead(client.getInputStream()).status());
            client.close();
            FakeServer.awaitNext(server.closedConnections);
        }
    }

    @Test
    void anAnswerOfNoToldLengthThatStandsStillIsBrokenOffSoonBehindItsTime() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) -> {
                    if ("stands".equals(request.headers().get("x-txn"))) {
                        peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstill\r\n");
                    }
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket other = harness.connect();
            NodeHarness.write(other, Http.pageRequest("/api/p", "silent", "4000m"));
            FakeServer.awaitNext(server.requests);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "stands", "200m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertThrows(IOException.class, () -> Http.readBody(client.getInputStream(), head));
            assertEquals(0, other.getInputStream().available(), "whose time is up long after");
        }
    }

    @Test
    void halfALineFromAServerThatIsBeingLeftHurtsNobody() throws Exception {
        try (FakeServer server = new FakeServer((request, peer) -> {
                    if (!"t".equals(request.headers().get("x-txn"))) {
                        peer.write(Http.okResponse("next"));
                    }
                });
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PAGE);
            FakeServer.Connection peer = FakeServer.awaitNext(server.answeredConnections);
            // Both ends in one turn of the loop: the client's, and half an answer's head.
            CountDownLatch release = harness.blockEventLoop();
            peer.write("HTTP/1.1 200 O");
            client.close();
            release.countDown();
            FakeServer.awaitNext(server.closedConnections);
            assertEquals("next", harness.exchange(Http.pageRequest("u")).body());
        }
    }
}
