package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node process that more clients connect to than its file descriptors allow. The system enforces the limit. */
class DescriptorLimitTest {
    /** The smallest limit of the platform. */
    private static final int DESCRIPTORS = 256;

    private static final String DISCOVERY = "127.0.0.1:9";
    private static final String REMAINING = "20000m";
    private static final int WORK_MS = 20;

    @TempDir
    private Path folder;

    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    private static FakeServer startServer() throws IOException {
        return new FakeServer((request, connection) -> {
            try {
                Thread.sleep(WORK_MS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            connection.write(Http.okResponse(request.headers().get("x-txn")));
        });
    }

    private NodeProgram.RunningNode startNode(FakeServer server) throws Exception {
        return NodeProgram.startWithDescriptors(folder, DESCRIPTORS, DISCOVERY, List.of(server.endpoint()));
    }

    /** Opens connections and sends a request on each as soon as it is open. */
    private List<Socket> connectAndSend(NodeProgram.RunningNode node, int count, String name) throws IOException {
        List<Socket> connected = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket client = node.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", name + i, REMAINING));
            connected.add(client);
        }
        clients.addAll(connected);
        return connected;
    }

    private List<Socket> connect(NodeProgram.RunningNode node, int count) throws IOException {
        List<Socket> connected = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            connected.add(node.connect());
        }
        clients.addAll(connected);
        return connected;
    }

    private static void send(List<Socket> senders, String name) throws IOException {
        for (int i = 0; i < senders.size(); i++) {
            NodeHarness.write(senders.get(i), Http.pageRequest("/api/p", name + i, REMAINING));
        }
    }

    /** Asserts that each client gets a whole answer to its request: that of the server, or a rejection. */
    private static void assertAnswered(NodeProgram.RunningNode node, List<Socket> senders, String name)
            throws Exception {
        List<String> lost = new ArrayList<>();
        for (int i = 0; i < senders.size(); i++) {
            try {
                Http.Message answer = Http.readMessage(senders.get(i).getInputStream());
                assertTrue(Set.of(200, 503).contains(answer.status()), answer.startLine());
                assertTrue(answer.status() == 503 || answer.body().equals(name + i), answer.body());
            } catch (IOException e) {
                lost.add(name + i + ": " + e.getMessage());
            }
        }
        if (!lost.isEmpty()) {
            // Connections end a moment before their process does.
            node.process().waitFor(1, TimeUnit.SECONDS);
        }
        node.assertAlive();
        assertEquals(List.of(), lost, "ended without an answer");
    }

    /**
     * Guards against a process that ends by itself because no descriptor is left: several times, more clients connect
     * than the limit allows, while the process is stopped.
     */
    @Test
    void processOutlivesMoreIdleConnectionsThanItHasDescriptors() throws Exception {
        try (FakeServer server = startServer();
                NodeProgram.RunningNode node = startNode(server)) {
            for (int round = 0; round < 4; round++) {
                node.signal("STOP");
                connect(node, 600);
                node.signal("CONT");
                List<Socket> ordinary = connectAndSend(node, 10, "round" + round + "-");
                assertAnswered(node, ordinary, "round" + round + "-");
                closeClients();
                clients.clear();
            }
        }
    }

    /**
     * Guards against closing a connection to make room although a request waits on it unread: what has not been read
     * counts as not sent.
     */
    @Test
    void requestsThatWaitUnreadOnIdleConnectionsAreAnsweredWhereRoomIsNeeded() throws Exception {
        try (FakeServer server = startServer();
                NodeProgram.RunningNode node = startNode(server)) {
            List<Socket> kept = connect(node, 100);
            send(kept, "first");
            assertAnswered(node, kept, "first");
            node.signal("STOP");
            List<Socket> added = connectAndSend(node, 100, "added");
            send(kept, "second");
            node.signal("CONT");
            assertAnswered(node, kept, "second");
            assertAnswered(node, added, "added");
        }
    }

    /** Guards against closing new connections with their requests unread because there is no room for them. */
    @Test
    void requestsOnNewConnectionsWaitUntilThereIsRoom() throws Exception {
        try (FakeServer server = startServer();
                NodeProgram.RunningNode node = startNode(server)) {
            for (int round = 0; round < 3; round++) {
                List<Socket> crowd = connectAndSend(node, 400, "round" + round + "-");
                assertAnswered(node, crowd, "round" + round + "-");
                closeClients();
                clients.clear();
            }
        }
    }
}
