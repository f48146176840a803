package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies and answers that flow, and all the forms in which HTTP/1.1 has them. */
class LargeBodyTest {
    private static final int LARGE = 300_000;

    /** Text of this length that is all different. */
    private static String text(int length) {
        SplittableRandom random = new SplittableRandom(length);
        StringBuilder text = new StringBuilder(length);
        while (text.length() < length) {
            text.append((char) ('a' + random.nextInt(26)));
        }
        return text.toString();
    }

    /** In chunks of a prime length, with extensions and a trailer. */
    private static String chunks(String text) {
        StringBuilder chunks = new StringBuilder();
        for (int i = 0; i < text.length(); i += 7_919) {
            String chunk = text.substring(i, Math.min(text.length(), i + 7_919));
            chunks.append(Integer.toHexString(chunk.length()))
                    .append(";a=\"b\"\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return chunks + "0\r\nX-Trailer: x\r\n\r\n";
    }

    private static String order(String txn, String framing, String body) {
        return Http.order(txn, "5000m").replace("Content-Length: 2\r\n\r\nab", framing + "\r\n\r\n" + body);
    }

    /** In pieces that are cut anywhere. */
    private static void writeInPieces(Socket to, String text) throws IOException {
        SplittableRandom random = new SplittableRandom(text.length());
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; ) {
            int piece = Math.min(bytes.length - at, 1 + random.nextInt(at < 600 ? 20 : 9_000));
            to.getOutputStream().write(bytes, at, piece);
            at += piece;
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536, 65_537, LARGE})
    void bodiesArriveAsTheyWereSentWithLengthsAndInChunks(int length) throws Exception {
        String body = text(length);
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (String framed : new String[] {
                order("l", "Content-Length: " + length, body), order("c", "Transfer-Encoding: chunked", chunks(body))
            }) {
                writeInPieces(client, framed);
                assertEquals(200, Http.read(client.getInputStream()).status());
                assertEquals(body, FarServer.next(server.requests).body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536, 65_537, LARGE})
    void answersArriveAsTheyWereGivenHoweverTheyAreFramed(int length) throws Exception {
        String body = text(length);
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        try (FarServer server = new FarServer((request, peer) -> {
                    switch (request.headers().get("x-txn")) {
                        case "length" -> writeInPieces(peer.socket(), interim + Http.ok(body));
                        case "chunks" ->
                            writeInPieces(
                                    peer.socket(),
                                    interim + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body));
                        default -> {
                            writeInPieces(peer.socket(), "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
                            peer.socket().shutdownOutput();
                        }
                    }
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            for (String txn : new String[] {"length", "chunks", "end", "length"}) {
                Http.Message answer = Site.ask(client, Http.page("/api/x", txn, "5000m"));
                assertEquals(200, answer.status());
                assertEquals(body, answer.body());
            }
        }
    }

    @Test
    void aClientThatWaitsToBeToldToGoOnIsTold() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, order("t", "Expect: 100-continue\r\nContent-Length: 5", ""));
            assertEquals(100, Http.read(client.getInputStream()).status());
            assertEquals(200, Site.ask(client, "hello").status());
            assertEquals("hello", FarServer.next(server.requests).body());
            String odd = order("t", "Expect: miracles\r\nContent-Length: 5", "");
            assertEquals(417, Site.ask(client, odd).status());
        }
    }

    @Test
    void requestsSentAheadBehindALargeOneAreAnsweredInTheirOrder() throws Exception {
        String body = text(LARGE);
        try (FarServer server = new FarServer((request, peer) -> peer.write(
                        Http.ok(request.headers().get("x-txn") + request.body().length())));
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(
                    client,
                    order("a", "Content-Length: " + LARGE, body)
                            + Http.page("/api/x", "b", "5000m")
                            + order("c", "Transfer-Encoding: chunked", chunks(body))
                            + Http.order("d", "5000m"));
            for (String answer : new String[] {"a" + LARGE, "b0", "c" + LARGE, "d2"}) {
                assertEquals(answer, Http.read(client.getInputStream()).body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nContent-Length: 3",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: gzip",
                "Content-Length: two",
                "Content-Length: -2",
            })
    void aRequestWhoseEndIsNotClearGets400AndReachesNoServer(String framing) throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            assertEquals(400, Site.ask(client, order("t", framing, "0\r\n\r\n")).status());
            assertEquals(-1, client.getInputStream().read());
            assertEquals(0, server.connections.get());
        }
    }

    @Test
    void aBodyThatBreaksInItsFramingNeverReachesAServerWhole() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.quiet().start(server)) {
            String whole = chunks(text(LARGE));
            assertEquals(
                    400,
                    site.ask(order(
                                    "t",
                                    "Transfer-Encoding: chunked",
                                    whole.substring(0, whole.indexOf("0\r\nX-Trailer")) + "no chunk\r\n"))
                            .status());
            FarServer.next(server.ended);
            assertTrue(server.requests.isEmpty());
            assertEquals(200, site.ask(Http.page("next")).status());
        }
    }

    @Test
    void aClientThatLeavesEndsWhatFlowsAtTheServerEitherWay() throws Exception {
        String body = text(8_000_000);
        try (FarServer server = FarServer.serving(body);
                Site site = Site.quiet().start(server)) {
            Socket sender = site.connect();
            Site.write(sender, order("t", "Content-Length: " + LARGE, body.substring(0, LARGE - 1)));
            while (server.connections.get() == 0) {
                Thread.onSpinWait();
            }
            sender.close();
            FarServer.next(server.ended);
            assertTrue(server.requests.isEmpty(), "never whole");
            Socket reader = site.connect();
            Site.write(reader, Http.page("/api/x", "u", "5000m"));
            assertEquals(200, Http.readHead(reader.getInputStream()).status());
            reader.close();
            FarServer.next(server.ended);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunks", "end"})
    void anAnswerThatBreaksAfterItBeganIsSeenToBeBrokenAndNotTriedAgain(String framing) throws Exception {
        String part = text(LARGE);
        try (FarServer server = new FarServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\n"
                            + switch (framing) {
                                case "length" -> "Content-Length: " + (LARGE + 1) + "\r\n\r\n" + part;
                                case "chunks" -> "Transfer-Encoding: chunked\r\n\r\n" + Site.chunk(part);
                                default -> "Connection: close\r\n\r\n" + part;
                            });
                    peer.reset();
                });
                Site site = Site.quiet()) {
            site.operated = true;
            site.start(server, server);
            Socket client = site.connect();
            Site.write(client, Http.page("/api/x", "t", "5000m"));
            assertThrows(IOException.class, () -> {
                if (Http.read(client.getInputStream()).body().length() < LARGE) {
                    throw new IOException("cut short");
                }
            });
            site.awaitFigure("node_handled{category=\"page\",outcome=\"bad_gateway\"} 1");
            site.awaitFigure("node_upstream_tries 1");
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void anAnswerThatIsGatheredIsReplacedWhenItBreaks() throws Exception {
        try (FarServer bad = new FarServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Site.chunk(text(60_000)));
                    peer.reset();
                });
                FarServer good = FarServer.serving("good");
                Site site = Site.quiet().start(bad, good)) {
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        "good", site.ask(Http.page("/api/x", "t" + i, "5000m")).body());
            }
            assertFalse(bad.requests.isEmpty());
        }
    }

    @Test
    void theFirstBytesOfALargeAnswerDoNotWaitForTheRest() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        String body = text(LARGE);
        try (FarServer server = new FarServer((request, peer) -> {
                    String answer = Http.ok(body);
                    peer.write(answer.substring(0, 100));
                    try {
                        assertTrue(seen.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(answer.substring(100));
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            // Its time runs out while it flows: what has begun goes on all the same.
            Site.write(client, Http.page("/api/x", "t", "300m"));
            Http.Message head = Http.readHead(client.getInputStream());
            assertEquals(body.charAt(0), client.getInputStream().read());
            seen.countDown();
            assertEquals(LARGE, Integer.parseInt(head.headers().get("content-length")));
            assertEquals(
                    body.substring(1),
                    new String(client.getInputStream().readNBytes(LARGE - 1), StandardCharsets.UTF_8));
        }
    }

    @Test
    void anAnswerOfUnknownLengthThatTakesLongIsPassedOnAsItComes() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        try (FarServer server = new FarServer((request, peer) -> {
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Site.chunk("first"));
                    try {
                        assertTrue(seen.await(20, TimeUnit.SECONDS));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    peer.write(Site.chunk("last") + "0\r\n\r\n");
                });
                Site site = Site.quiet().start(server)) {
            Socket client = site.connect();
            Site.write(client, Http.page("/api/x", "t", "5000m"));
            Http.Message head = Http.readHead(client.getInputStream());
            seen.countDown();
            assertEquals("firstlast", new String(Http.readBody(client.getInputStream(), head), StandardCharsets.UTF_8));
            assertEquals(
                    200, Site.ask(client, Http.page("/api/x", "u", "5000m")).status(), "and goes on");
        }
    }

    @Test
    void aLargeBodyGoesToAnotherServerOnlyFromItsStart() throws Exception {
        String body = text(LARGE);
        try (FarServer dead = FarServer.serving("x");
                FarServer good = FarServer.serving("x");
                Site site = Site.quiet()) {
            dead.stop();
            site.start(dead, good);
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        200,
                        site.ask(order("t" + i, "Content-Length: " + LARGE, body))
                                .status());
                assertEquals(body, FarServer.next(good.requests).body());
            }
        }
    }

    @Test
    void aServerThatAnswersAmidABodyHasItsAnswerPassedOn() throws Exception {
        String body = text(LARGE);
        try (Early server = new Early(Http.answer("500 No", "", ""));
                Site site = Site.quiet()) {
            site.startKnowing(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            Socket client = site.connect();
            Site.write(client, order("t", "Content-Length: " + (LARGE + 1), body));
            Http.Message answer = Http.read(client.getInputStream());
            assertEquals(502, answer.status());
            // The rest of the body is read, and the connection carries the next request.
            Site.write(client, "z");
            assertEquals(404, Site.ask(client, Http.page("/nothing", "u", "1m")).status());
        }
    }
}
