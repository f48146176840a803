package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators see of a node, and do to it. */
class ControlServerTest {

    private static Site operated() throws Exception {
        Site site = Site.quiet();
        site.operated = true;
        return site;
    }

    @Test
    void healthIsYesFromWhenClientsCanConnectUntilTheDrain() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = operated()) {
            site.control(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals("NO not serving\n", site.call("health\n"));
            site.begin();
            assertEquals("YES\n", site.call("health\n"));
            assertEquals("YES\n", site.call("health\r\n"));
            site.node.drain(() -> {});
            assertEquals("NO not serving\n", site.call("health\n"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "health now",
                "cordon",
                "cordon s0 s1",
                "uncordon",
                "quiesce",
                "HEALTH",
                "cordon none",
                "uncordon none",
                "GET / HTTP/1.1"
            })
    void aCallThatIsNoneGetsNo(String call) throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = operated().start(server)) {
            String answer = site.call(call + "\n");
            assertTrue(answer.matches("NO .+\n"), answer);
            assertEquals(200, site.ask(Http.page("t")).status());
        }
    }

    @Test
    void aCallTooLongGetsNoAndACallInPiecesIsRead() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = operated().start(server)) {
            assertEquals("NO line too long\n", site.call("cordon " + "s".repeat(5_000)));
            try (Socket caller = new Socket(site.control.getAddress(), site.control.getPort())) {
                for (String piece : "health\n".split("")) {
                    Site.write(caller, piece);
                }
                assertEquals("YES\n", new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            }
        }
    }

    @Test
    void callersThatSayNothingDelayNobodyAndAreClosed() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = operated().start(server)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Socket caller = new Socket(site.control.getAddress(), site.control.getPort());
                caller.setSoTimeout(20_000);
                Site.write(caller, i % 2 == 0 ? "" : "heal");
                silent.add(caller);
            }
            assertEquals("YES\n", site.call("health\n"));
            for (Socket caller : silent) {
                assertEquals(-1, caller.getInputStream().read());
                caller.close();
            }
        }
    }

    @Test
    void theFiguresAgreeWithWhatThePeersSaw() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> {
                    String txn = request.headers().get("x-txn");
                    if (txn.startsWith("full")) {
                        peer.write(Http.answer("503 Busy", "X-Turned-Away: 1\r\n", ""));
                    } else if (txn.startsWith("bad")) {
                        peer.write(Http.answer("500 No", "", ""));
                    } else if (txn.equals("held")) {
                        try {
                            held.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                        peer.write(Http.ok("x"));
                    } else if (txn.equals("left")) {
                        left.countDown();
                    } else {
                        peer.write(Http.ok("x"));
                    }
                });
                Site site = operated().start(server)) {
            String none = site.call("counters\n");
            for (String line : new String[] {
                "handled{category=\"page\",outcome=\"passed\"}",
                "handled{category=\"photo\",outcome=\"dropped\"}",
                "handled{category=\"order\",outcome=\"bad_gateway\"}",
                "upstream_tries",
                "in_progress",
                "skipped_app_servers",
                "loads",
                "load_errors"
            }) {
                assertTrue(none.contains("node_" + line + " 0\n"), none);
            }
            assertTrue(none.contains("node_known_app_servers 1\n"), none);
            assertTrue(none.endsWith("\nEND\n"), none);
            for (int i = 0; i < 5; i++) {
                assertEquals(200, site.ask(Http.page("t" + i)).status());
            }
            assertEquals(200, site.ask(Http.order("o", "4000m")).status());
            assertEquals(503, site.ask(Http.order("full", "300m")).status());
            assertEquals(502, site.ask(Http.order("bad", "4000m")).status());
            assertEquals(404, site.ask(Http.page("/nothing", "u", "1m")).status());
            assertEquals(400, site.ask(Http.page("/api/x", "", "1m")).status());
            Socket leaver = site.connect();
            Site.write(leaver, Http.page("/api/x", "left", "5000m"));
            // Written to a server, and read there: only then do both sides count the same.
            left.await();
            leaver.close();
            site.awaitFigure("node_in_progress 0");
            Socket last = site.connect();
            Site.write(last, Http.page("/api/x", "held", "5000m"));
            site.awaitFigure("node_in_progress 1");
            held.countDown();
            assertEquals(200, Http.read(last.getInputStream()).status());
            site.awaitFigure("node_in_progress 0");
            String all = site.call("counters\n");
            assertTrue(all.contains("{category=\"page\",outcome=\"passed\"} 6\n"), all);
            assertTrue(all.contains("{category=\"page\",outcome=\"bad_gateway\"} 0\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"passed\"} 1\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"dropped\"} 1\n"), all);
            assertTrue(all.contains("{category=\"order\",outcome=\"bad_gateway\"} 1\n"), all);
            assertTrue(all.contains("node_upstream_tries " + server.requests.size() + "\n"), all);
        }
    }

    @Test
    void aCordonedServerGetsNothingFromTheYesUntilItIsCalledBack() throws Exception {
        try (FarServer one = FarServer.serving("one");
                FarServer two = FarServer.serving("two");
                Site site = operated().start(one, two)) {
            FarServer.Peer watch = FarServer.next(site.discovery.peers);
            assertEquals("YES\n", site.call("cordon s0\n"));
            assertEquals("YES\n", site.call("cordon s0\n"), "repeated");
            // Dropped from the list and named again: the cordon stands.
            watch.write(Site.chunk(Site.list(2, true, "s1=" + two.endpoint() + "=Ready") + "\n"));
            site.awaitFigure("node_known_app_servers 1");
            watch.write(Site.chunk(
                    Site.list(3, true, "s0=" + one.endpoint() + "=Ready", "s1=" + two.endpoint() + "=Ready") + "\n"));
            site.awaitFigure("node_known_app_servers 2");
            site.awaitFigure("node_skipped_app_servers 1");
            for (int i = 0; i < 30; i++) {
                assertEquals(
                        "two", site.ask(Http.page("/api/x", "t" + i, "4000m")).body());
            }
            assertEquals("YES\n", site.call("uncordon s0\n"), "one call back ends it");
            site.awaitFigure("node_skipped_app_servers 0");
            assertEquals("YES\n", site.call("uncordon s0\n"), "not cordoned, but listed");
            int asked = 0;
            while (one.requests.isEmpty()) {
                assertTrue(asked < 10_000, "never used again");
                site.ask(Http.page("/api/x", "u" + asked++, "4000m"));
            }
        }
    }

    @Test
    void aCordonBindsAllProcessesOfANodeAndTheNextOne(@TempDir Path folder) throws Exception {
        try (FarServer one = FarServer.serving("one");
                FarServer two = FarServer.serving("two");
                Site first = operated();
                Site second = operated()) {
            first.folder = folder;
            second.folder = folder;
            first.start(one, two);
            assertEquals("YES\n", first.call("cordon s0\n"));
            second.start(one, two);
            second.awaitFigure("node_skipped_app_servers 1");
            assertEquals("two", second.ask(Http.page("t")).body());
            assertEquals("YES\n", second.call("uncordon s0\n"));
            first.awaitFigure("node_skipped_app_servers 0");
            long calledAt = System.nanoTime();
            assertEquals("YES\n", second.call("cordon s1\n"));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt);
            assertTrue(tookMs >= Node.HEEDED_MS, "no yes before the other process has looked: " + tookMs);
            first.awaitFigure("node_skipped_app_servers 1");
            assertEquals("one", first.ask(Http.page("u")).body());
        }
    }

    @Test
    void cordonsThatCannotBeReadDoNotStopTheNodeAndOnesThatCannotBeKeptGetNo(@TempDir Path folder) throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = operated()) {
            site.folder = folder;
            Files.write(folder.resolve("kitemux.cordons"), new byte[] {(byte) 0xff, (byte) 0xfe, 0});
            site.start(server);
            assertEquals(200, site.ask(Http.page("t")).status());
            assertEquals("YES\n", site.call("cordon s0\n"), "written anew");
            site.awaitFigure("node_skipped_app_servers 1");
            Files.createDirectory(folder.resolve("kitemux.cordons.new"));
            String answer = site.call("uncordon s0\n");
            assertTrue(answer.startsWith("NO cordons cannot be kept: "), answer);
            site.awaitFigure("node_skipped_app_servers 1");
        }
    }
}
