package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that send many requests at once: what they cost in memory, and in time that others wait. */
class PipeliningClientsTest {
    private static final int CLIENTS = 100;
    private static final int REQUESTS = 8;
    private static final int FIELDS = 1_250;
    private static final int BODY_BYTES = 14_000;

    private enum Request {
        OF_MANY_FIELDS {
            @Override
            String text(String txn) {
                String fields = "a:1\r\n".repeat(FIELDS);
                return Http.pageRequest("/api/p", txn, "60000m").replace("X-Org", fields + "X-Org");
            }
        },
        WITH_BODY {
            @Override
            String text(String txn) {
                return Http.orderRequest(txn, "60000m")
                        .replace(
                                "Content-Length: 2\r\n\r\nab",
                                "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "a".repeat(BODY_BYTES));
            }
        };

        abstract String text(String txn);
    }

    /**
     * Guards against a process that runs out of memory because of what clients send ahead: header fields take many
     * times their size once they are decoded, and bodies that wait keep the buffers that they were read into.
     */
    @ParameterizedTest
    @EnumSource(Request.class)
    void requestsSentAheadFitIntoASmallProcess(Request request, @TempDir Path folder) throws Exception {
        CountDownLatch testOver = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (FakeServer server = new FakeServer((received, connection) -> FakeServer.awaitLatch(testOver))) {
            NodeProgram.RunningNode node =
                    NodeProgram.startWithHeap(folder, 32, 4, "127.0.0.1:9", List.of(server.endpoint()));
            try {
                for (int i = 0; i < CLIENTS; i++) {
                    Socket client = node.connect();
                    clients.add(client);
                    sendInBackground(client, request.text("t" + i).repeat(REQUESTS));
                }
                for (int i = 0; i < CLIENTS; i++) {
                    try (Socket other = node.connect()) {
                        String path = "/nothing" + i;
                        assertEquals(
                                404,
                                NodeHarness.exchange(other, Http.pageRequest(path, "u", "1m"))
                                        .status());
                    }
                }
                assertTrue(node.process().isAlive());
            } finally {
                testOver.countDown();
                node.close();
                for (Socket client : clients) {
                    client.close();
                }
            }
        }
    }

    /** The node does not take all of it, so that the write may block until the test is over. */
    private static void sendInBackground(Socket client, String text) {
        Thread thread = new Thread(
                () -> {
                    try {
                        NodeHarness.write(client, text);
                    } catch (IOException e) {
                        // The test is over.
                    }
                },
                "sender");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Guards against one connection that keeps the event loop to itself: its requests need no server, and their
     * responses are written at once. Others must be served after a few of them.
     */
    @Test
    void requestsOfOneConnectionDoNotHoldUpOthers() throws Exception {
        int count = 1_000;
        String request = "GET /nothing HTTP/1.1\r\n\r\n";
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket flooding = harness.connect();
            Socket other = harness.connect();
            String response = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            assertEquals(404, NodeHarness.exchange(other, request).status());
            CountDownLatch release = harness.blockEventLoop();
            NodeHarness.write(flooding, request.repeat(count));
            NodeHarness.write(other, request);
            // Both connections are ready when the loop goes on, the flooding one first.
            release.countDown();
            assertEquals(404, Http.readMessage(other.getInputStream()).status());
            int servedBefore = flooding.getInputStream().available() / response.length();
            assertTrue(servedBefore < count / 2, servedBefore + " requests of the other connection were served first");
            for (int i = 0; i < count; i++) {
                assertEquals(404, Http.readMessage(flooding.getInputStream()).status());
            }
        }
    }
}
