package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a node owes whose event loop has stood still while clients asked and servers hung. */
class StalledLoopTest {
    private static final long STALL_MS = 300;

    /** Keeps the loop from running for a while from now on. */
    private static void stall(CountDownLatch release) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MS);
        while (System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        release.countDown();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestThatWaitedToBeReadTellsTheServerWhatIsLeftToItsClient(boolean newConnection) throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket open = site.connect();
            assertEquals(
                    200, Site.ask(open, Http.page("/api/p", "first", "15000m")).status());
            CountDownLatch release = site.holdLoop();
            Socket client = newConnection ? site.connect() : open;
            Site.write(client, Http.page("/api/p", "second", "15000m"));
            stall(release);
            assertEquals(200, Http.read(client.getInputStream()).status());
            FarServer.next(server.requests);
            String left = FarServer.next(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(left.substring(0, left.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "told " + left);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aRequestWhoseTimeRanOutUnreadIsRefusedAndNotSent(boolean newConnection) throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket open = site.connect();
            assertEquals(
                    200, Site.ask(open, Http.page("/api/p", "first", "15000m")).status());
            CountDownLatch release = site.holdLoop();
            Socket client = newConnection ? site.connect() : open;
            Site.write(client, Http.page("/api/p", "late", "200m"));
            stall(release);
            assertEquals(503, Http.read(client.getInputStream()).status());
            assertEquals(
                    200, Site.ask(client, Http.page("/api/p", "last", "15000m")).status());
            assertEquals("first", FarServer.next(server.requests).headers().get("x-txn"));
            assertEquals("last", FarServer.next(server.requests).headers().get("x-txn"));
        }
    }

    @Test
    void aRequestSentAheadHasTheTimeThatIsLeftOnceItIsItsTurn() throws Exception {
        try (FarServer server = new FarServer((request, peer) -> {
                    if ("first".equals(request.headers().get("x-txn"))) {
                        stall(new CountDownLatch(1));
                    }
                    peer.write(Http.ok("x"));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/p", "first", "15000m") + Http.page("/api/p", "second", "15000m"));
            assertEquals(200, Http.read(client.getInputStream()).status());
            FarServer.next(server.requests);
            String left = FarServer.next(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(left.substring(0, left.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - STALL_MS * 1_000, "told " + left);
        }
    }

    @Test
    void anAttemptWhoseTimeRanOutIsToldBeforeANewOneBegins() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        AtomicBoolean newOneWasFirst = new AtomicBoolean();
        try (FarServer server = new FarServer((request, peer) -> {
                    if ("hangs".equals(request.headers().get("x-txn"))) {
                        await(never);
                    }
                    peer.write(Http.ok("x"));
                });
                Site site = Site.quiet()) {
            Function<BalancerActions, Balancer> module = site.module;
            site.module = actions -> onTimeout(module.apply(actions), () -> {
                // Whatever was written by now has come to the server.
                stall(new CountDownLatch(1));
                newOneWasFirst.set(server.requests.stream()
                        .anyMatch(request -> "new".equals(request.headers().get("x-txn"))));
            });
            site.start(server);
            Socket first = site.connect();
            Socket second = site.connect();
            Site.write(first, Http.order("hangs", "150m"));
            FarServer.next(server.requests);
            // A connection to the server that is free, so that the new attempt is written as it begins.
            assertEquals(
                    200,
                    Site.ask(second, Http.page("/api/p", "before", "15000m")).status());
            CountDownLatch release = site.holdLoop();
            Site.write(second, Http.page("/api/p", "new", "15000m"));
            stall(release);
            assertEquals(200, Http.read(second.getInputStream()).status());
            never.countDown();
            assertFalse(newOneWasFirst.get());
        }
    }

    /** The same module, which runs this as it is told that an attempt is out of time. */
    private static Balancer onTimeout(Balancer module, Runnable then) {
        return (Balancer) Proxy.newProxyInstance(
                Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("onOutcome")
                            && ((AttemptOutcome) arguments[1]).result() == AttemptResult.TIMEOUT) {
                        then.run();
                    }
                    return method.invoke(module, arguments);
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
    void aNodeThatEndsAnswersWhatServersHoldBeforeItIsKilled() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> await(never));
                Site site = Site.quiet().start(server)) {
            Socket out = site.connect();
            Site.write(out, Http.order("out", "60000m"));
            FarServer.next(server.requests);
            CountDownLatch done = new CountDownLatch(1);
            site.node.drain(done::countDown);
            // The client would wait for a minute, the platform kills the process 3.7 s after its SIGTERM.
            Http.Message answer = Http.read(out.getInputStream());
            assertEquals(502, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            out.close();
            assertTrue(done.await(20, TimeUnit.SECONDS));
            never.countDown();
        }
    }
}
