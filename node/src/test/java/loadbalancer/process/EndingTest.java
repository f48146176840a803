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
    private static final String PIPELINED = Http.page("a") + Http.page("b");

    /** A server that answers once the latch is down, with the request's id. */
    private static FarServer answering(CountDownLatch when) throws IOException {
        return new FarServer((request, peer) -> {
            try {
                assertTrue(when.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            peer.write(Http.ok(request.headers().get("x-txn")));
        });
    }

    private static CountDownLatch drain(Site site) {
        CountDownLatch done = new CountDownLatch(1);
        site.node.drain(done::countDown);
        return done;
    }

    @Test
    void connectionsThatComeAtOnceMakeRoomForEachOther() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet()) {
            site.sockets = 64;
            site.start(server);
            CountDownLatch closed = new CountDownLatch(31);
            CountDownLatch release = site.holdLoop();
            for (int i = 0; i < 40; i++) {
                Socket idle = site.connect();
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
            assertEquals(200, site.ask(Http.page("last")).status());
            assertTrue(closed.await(20, TimeUnit.SECONDS), closed.getCount() + " too many are open");
        }
    }

    @Test
    void aClientThatLeavesIsHeardOfThoughItHasSentRequestsAhead() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FarServer server = answering(answer);
                Site site = Site.quiet()) {
            site.operated = true;
            site.start(server);
            Socket client = site.connect();
            Site.write(client, PIPELINED.replace("400m", "50000m"));
            assertEquals("a", FarServer.next(server.requests).headers().get("x-txn"));
            client.close();
            // Heard of while the answer is still out.
            site.awaitFigure("node_in_progress 0");
            answer.countDown();
            assertEquals(200, site.ask(Http.page("c")).status());
            assertEquals("c", FarServer.next(server.requests).headers().get("x-txn"), "b went on");
        }
    }

    @Test
    void aDrainingNodeAnswersAllThatItHasReadAndEndsWithTheLast() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (FarServer server = answering(answer);
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, PIPELINED.replace("400m", "50000m"));
            FarServer.next(server.requests);
            site.awaitLoop();
            CountDownLatch done = drain(site);
            answer.countDown();
            Http.Message first = Http.read(client.getInputStream());
            assertEquals("a", first.body());
            assertFalse(first.headers().containsKey("connection"));
            Http.Message second = Http.read(client.getInputStream());
            assertEquals("b", second.body());
            assertEquals("close", second.headers().get("connection"));
            assertEquals(-1, client.getInputStream().read());
            client.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
        }
    }

    /** What a client still writes is taken in and dropped: a reset would go behind an answer on its way. */
    private static void assertReadAndDropped(Site site, Socket client) throws Exception {
        for (int i = 0; i < 20; i++) {
            // To a connection that is closed the first of them is answered by a reset, and the next fails.
            Site.write(client, Http.page("late" + i));
            site.awaitLoop();
        }
    }

    @Test
    void aRequestThatCrossesTheEndOfARestingConnectionIsNotSentOn() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            assertEquals(200, Site.ask(client, Http.page("t")).status());
            CountDownLatch done = drain(site);
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(site, client);
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
        try (FarServer server = answering(answer);
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            String last = Http.page("/api/page", "a", "5000m");
            Site.write(client, drains ? last : last.replace("X-Org", "Connection: close\r\nX-Org"));
            FarServer.next(server.requests);
            if (drains) {
                drain(site);
            }
            answer.countDown();
            assertEquals("a", Http.read(client.getInputStream()).body());
            assertEquals(-1, client.getInputStream().read());
            assertReadAndDropped(site, client);
            assertTrue(server.requests.isEmpty());
        }
    }

    @Test
    void aClientThatKeepsSendingBehindItsEndIsClosedInTheEnd() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            assertEquals(200, Site.ask(client, Http.page("t")).status());
            CountDownLatch done = drain(site);
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
