package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that send more ahead than a node with a small heap may hold. */
class InputOverflowTest {
    private static final int HEAP_MB = 32;
    private static final int DIRECT_MEMORY_MB = 8;
    /** All connections together may hold an eighth of the heap. */
    private static final int ACCOUNT_BYTES = (HEAP_MB << 20) / 8;

    /** More than one connection may hold, and little enough for the buffers of the sockets to take the rest. */
    private static final int LARGE_BODY_BYTES = ACCOUNT_BYTES / 2 + (300 << 10);

    private static final String REMAINING = "30000m";
    private static final String REJECTION = Http.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
    private static final String DISCOVERY = "127.0.0.1:9";
    /** An attempt may begin this long after its client has left, with the 50 ms of every limit on the platform. */
    private static final long ATTEMPT_ALLOWED_MS = 150;

    @TempDir
    private Path folder;

    private final AtomicLong written = new AtomicLong();

    /** Rejects the first request once this is counted down; the others are rejected or served at once. */
    private final CountDownLatch firstRejected = new CountDownLatch(1);

    private FakeServer serverThatRejectsTheFirst(String others) throws IOException {
        AtomicInteger count = new AtomicInteger();
        return new FakeServer((request, connection) -> {
            if (count.getAndIncrement() == 0) {
                FakeServer.awaitLatch(firstRejected);
                connection.write(REJECTION);
            } else {
                connection.write(
                        others == null ? Http.okResponse(request.headers().get("x-txn")) : others);
            }
        });
    }

    private static String order(String txn, int bodyBytes) {
        return Http.orderRequest(txn, REMAINING)
                .replace("Content-Length: 2\r\n\r\nab", "Content-Length: " + bodyBytes + "\r\n\r\n")
                .concat("a".repeat(bodyBytes));
    }

    /** Writes in the background, as far as the node takes it, until the client closes. */
    private Thread sendInBackground(Socket client, Iterable<String> requests) {
        Thread thread = new Thread(
                () -> {
                    try {
                        OutputStream out = client.getOutputStream();
                        for (String request : requests) {
                            out.write(request.getBytes(StandardCharsets.US_ASCII));
                            written.addAndGet(request.length());
                        }
                    } catch (IOException e) {
                        // The client has closed.
                    }
                },
                "sender");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static Iterable<String> pages(int count) {
        return () -> IntStream.range(0, count)
                .mapToObj(i -> Http.pageRequest("/api/p", "t" + i, REMAINING))
                .iterator();
    }

    /** Waits until at least this much is written and the node takes no more for now. */
    private void awaitBlocked(long atLeastBytes) throws InterruptedException {
        long before = -1;
        while (written.get() < atLeastBytes || written.get() != before) {
            before = written.get();
            Thread.sleep(200);
        }
    }

    /**
     * Guards against attempts for a client that has left behind more requests than the node may hold: its first request
     * is rejected after that, and must go to no other server.
     */
    @Test
    void requestIsNotSentAgainAfterItsClientHasLeftBehindMoreThanIsHeld() throws Exception {
        try (FakeServer server = serverThatRejectsTheFirst(REJECTION);
                NodeProgram.RunningNode node = NodeProgram.startWithHeap(
                        folder, HEAP_MB, DIRECT_MEMORY_MB, DISCOVERY, List.of(server.endpoint()))) {
            Socket client = node.connect();
            sendInBackground(client, pages(1_000_000));
            FakeServer.awaitNext(server.requests);
            awaitBlocked(ACCOUNT_BYTES / 2);
            client.close();
            Thread.sleep(ATTEMPT_ALLOWED_MS);
            firstRejected.countDown();
            assertNothingIsSent(server, node);
        }
    }

    /** Waits until a request that comes now has been served or rejected, several times. */
    private static void assertNothingIsSent(FakeServer server, NodeProgram.RunningNode node) throws Exception {
        for (int i = 0; i < 10; i++) {
            try (Socket other = node.connect()) {
                NodeHarness.exchange(other, Http.pageRequest("/api/p", "other", REMAINING));
            }
            Thread.sleep(50);
        }
        List<String> sent = server.requests.stream()
                .map(request -> request.headers().get("x-txn"))
                .filter(txn -> !txn.equals("other"))
                .toList();
        assertEquals(List.of(), sent, "sent for a client that has left");
    }

    /**
     * Guards against requests that get no response, or that of another one, where the node has to drop what it cannot
     * hold: each is served or rejected, in its order.
     */
    @Test
    void everyRequestOfAClientThatStaysIsServedOrRejectedInOrder() throws Exception {
        int count = 60_000;
        try (FakeServer server = serverThatRejectsTheFirst(null);
                NodeProgram.RunningNode node = NodeProgram.startWithHeap(
                        folder, HEAP_MB, DIRECT_MEMORY_MB, DISCOVERY, List.of(server.endpoint()))) {
            Socket client = node.connect();
            Thread sender = sendInBackground(client, pages(count));
            FakeServer.awaitNext(server.requests);
            awaitBlocked(ACCOUNT_BYTES / 2);
            firstRejected.countDown();
            int rejected = 0;
            for (int i = 0; i < count; i++) {
                Http.Message response = Http.readMessage(client.getInputStream());
                if (response.status() == 200) {
                    assertEquals("t" + i, response.body());
                } else {
                    assertEquals(503, response.status());
                    rejected++;
                }
            }
            sender.join();
            assertTrue(rejected > 0, "nothing had to be rejected");
            assertEquals(200, exchangePage(client, "last").status());
            client.close();
        }
    }

    private static Http.Message exchangePage(Socket client, String txn) throws IOException {
        return NodeHarness.exchange(client, Http.pageRequest("/api/p", txn, REMAINING));
    }

    /**
     * Guards against a request that runs although its client has left behind more of its body than the node may hold:
     * no server may get all of it.
     */
    @Test
    void largeBodyIsNotSentInFullAfterItsClientHasLeftBehindMoreThanIsHeld() throws Exception {
        try (FakeServer discovery = silentDiscovery();
                FakeServer server = FakeServer.respondingWith("x");
                NodeProgram.RunningNode node =
                        NodeProgram.startWithHeap(folder, HEAP_MB, DIRECT_MEMORY_MB, discovery.endpoint(), List.of())) {
            Socket client = node.connect();
            Thread sender = sendInBackground(client, List.of(order("gone", LARGE_BODY_BYTES)));
            sender.join();
            awaitBodyRead(node);
            client.close();
            Thread.sleep(ATTEMPT_ALLOWED_MS);
            announce(discovery, server);
            try (Socket other = node.connect()) {
                assertEquals(200, exchangePage(other, "other").status());
            }
            assertNothingIsSent(server, node);
        }
    }

    /** Guards against rejecting a body that is larger than the node may hold, and waits for a server. */
    @Test
    void bodyThatCannotBeHeldIsServedOnceThereIsAServer() throws Exception {
        try (FakeServer discovery = silentDiscovery();
                FakeServer server = FakeServer.respondingWith("x");
                NodeProgram.RunningNode node =
                        NodeProgram.startWithHeap(folder, HEAP_MB, DIRECT_MEMORY_MB, discovery.endpoint(), List.of())) {
            Socket client = node.connect();
            Thread sender = sendInBackground(client, List.of(order("large", 2 * ACCOUNT_BYTES)));
            awaitBodyRead(node);
            announce(discovery, server);
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
            sender.join();
            assertEquals(
                    2 * ACCOUNT_BYTES,
                    FakeServer.awaitNext(server.requests).body().length());
            assertEquals(200, exchangePage(client, "next").status());
            client.close();
        }
    }

    private static FakeServer silentDiscovery() throws IOException {
        return new FakeServer((request, connection) -> connection.write(NodeHarness.watchResponseHead()));
    }

    /** Waits until the node holds as much of a body as it may: for longer than it takes until it reads ahead. */
    private static void awaitBodyRead(NodeProgram.RunningNode node) throws Exception {
        for (int i = 0; i < 10; i++) {
            try (Socket other = node.connect()) {
                assertEquals(
                        404,
                        NodeHarness.exchange(other, "GET /nothing HTTP/1.1\r\n\r\n")
                                .status());
            }
            Thread.sleep(50);
        }
    }

    private static void announce(FakeServer discovery, FakeServer server) throws Exception {
        FakeServer.awaitNext(discovery.respondedConnections)
                .write(NodeHarness.chunk(
                        NodeHarness.endpointList(2, false, "s0=" + server.endpoint() + "=Ready") + "\n"));
    }
}
