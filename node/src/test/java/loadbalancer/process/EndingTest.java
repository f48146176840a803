package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.PipelinedMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients' connections that end while something else happens on them: {@code docs/acceptance.md}. */
class EndingTest {
    private static final String PIPELINED = Http.pageRequest("a") + Http.pageRequest("b");

    /** A server that answers once the latch is down, with the request's id. */
    private static FakeServer answering(CountDownLatch when) throws IOException {
        return new FakeServer((request, peer) -> {
            try {
                assertTrue(when.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(Http.okResponse(request.headers().get("x-txn")));
        });
    }

    private static CountDownLatch drain(NodeHarness harness) {
        CountDownLatch done = new CountDownLatch(1);
        harness.node.drain(done::countDown);
        return done;
    }

    @Test
    void connectionsThatComeAtOnceMakeRoomForEachOther() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.socketLimit = 64;
            harness.start(server);
            CountDownLatch closed = new CountDownLatch(31);
            CountDownLatch release = harness.blockEventLoop();
            for (int i = 0; i < 40; i++) {
                Socket idle = harness.connect();
                idle.setSoTimeout(0);
                Thread reader = new Thread(() -> {
                    try {
                        assertEquals(-1, idle.getInputStream().read());
                    } catch (IOException e) {
                        // As much an end as an orderly one.
                    }
                    closed.countDown();
                });
                reader.setDaemon(true);
                reader.start();
            }
            release.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("last")).status());
            assertTrue(closed.await(20, TimeUnit.SECONDS), closed.getCount() + " too many are open");
        }
    }

    @Test
    void aClientThatLeavesIsHeardOfThoughItHasSentRequestsAhead() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = answering(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.hasControl = true;
            harness.start(server);
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            assertEquals("a", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            client.close();
            // Heard of while the answer is still out.
            harness.awaitMetric("node_in_progress 0");
            answer.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("c")).status());
            assertEquals("c", FakeServer.awaitNext(server.requests).headers().get("x-txn"), "b went on");
        }
    }

    @Test
    void aDrainingNodeAnswersAllThatItHasReadAndEndsWithTheLast() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = answering(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            NodeHarness.write(client, PIPELINED.replace("400m", "50000m"));
            FakeServer.awaitNext(server.requests);
            harness.awaitEventLoop();
            CountDownLatch done = drain(harness);
            answer.countDown();
            Http.Message first = Http.readMessage(client.getInputStream());
            assertEquals("a", first.body());
            assertFalse(first.headers().containsKey("connection"));
            Http.Message second = Http.readMessage(client.getInputStream());
            assertEquals("b", second.body());
            assertEquals("close", second.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    /** What a client still writes is taken in and dropped: a reset would go behind an answer on its way. */
    private static void assertReadAndDropped(NodeHarness harness, Socket client) throws Exception {
        for (int i = 0; i < 20; i++) {
            // To a connection that is closed the first of them is answered by a reset, and the next fails.
            NodeHarness.write(client, Http.pageRequest("late" + i));
            harness.awaitEventLoop();
        }
    }

    @Test
    void aRequestThatCrossesTheEndOfARestingConnectionIsNotSentOn() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            CountDownLatch done = drain(harness);
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(harness, client);
            assertEquals(1, server.requests.size());
            assertEquals(1, done.getCount(), "it may still have to hear of the end");
            client.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatComesBehindTheLastAnswerIsReadAndDropped(boolean drains) throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FakeServer server = answering(answer);
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            String last = Http.pageRequest("/api/page", "a", "5000m");
            NodeHarness.write(client, drains ? last : last.replace("X-Org", "Connection: close\r\nX-Org"));
            FakeServer.awaitNext(server.requests);
            if (drains) {
                drain(harness);
            }
            answer.countDown();
            assertEquals("a", Http.readMessage(client.getInputStream()).body());
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(harness, client);
            assertTrue(server.requests.isEmpty());
        }
    }

    @Test
    void aClientThatKeepsSendingBehindItsEndIsClosedInTheEnd() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            CountDownLatch done = drain(harness);
            assertEquals(-1, client.getInputStream().read());
            assertTrue(done.await(20, TimeUnit.SECONDS), "it never closes its side");
        }
    }

    @Test
    void whatAClientSendsAheadIsBounded() {
        PipelinedMessages ahead = new PipelinedMessages();
        int parts = 0;
        while (!ahead.isFull()) {
            ahead.add(LastHttpContent.EMPTY_LAST_CONTENT, 0);
            parts++;
        }
        assertTrue(parts <= 128, parts + " parts");
        ahead.poll();
        assertFalse(ahead.isFull());
    }
}
