package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests on connections that have waited in the listen queue, as the node had no room for them. */
class ListenQueueTest {
    private static final int SOCKET_LIMIT = 64;
    /** With this limit, the node holds 9 connections of clients. */
    private static final int ROOM = 9;

    private static final long WAIT_MS = 300;

    /** Takes all the room with clients that have sent a part of a request, so that their connections are not idle. */
    private static List<Socket> takeAllRoom(NodeHarness harness) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < ROOM; i++) {
            Socket client = harness.connect();
            NodeHarness.write(client, Http.orderRequest("part" + i, "15000m").replace("Length: 2", "Length: 9"));
            clients.add(client);
        }
        return clients;
    }

    private static NodeHarness start(FakeServer server) throws Exception {
        NodeHarness harness = NodeHarness.withSilentDiscovery();
        harness.socketLimit = SOCKET_LIMIT;
        return harness.start(server);
    }

    /** Guards against a server that works for a client that has given up: the time in the queue counts. */
    @Test
    void requestThatWaitedInTheQueuePassesTheRemainingTimeToTheServer() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = start(server)) {
            List<Socket> others = takeAllRoom(harness);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "waits", "15000m"));
            Thread.sleep(WAIT_MS);
            assertTrue(server.requests.isEmpty(), "sent although there is no room");
            others.get(0).close();
            assertEquals(200, Http.readMessage(client.getInputStream()).status());
            String remaining = FakeServer.awaitNext(server.requests).headers().get("x-remaining");
            long remainingUs = Long.parseLong(remaining.substring(0, remaining.length() - 1));
            assertTrue(remainingUs <= 15_000_000 - WAIT_MS * 1_000, "remaining " + remaining);
        }
    }

    /** Guards against sending a request to a server whose client has left while it waited in the queue. */
    @Test
    void requestOfAClientThatLeftInTheQueueIsNotSent() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = start(server)) {
            List<Socket> others = takeAllRoom(harness);
            Socket client = harness.connect();
            NodeHarness.write(client, Http.pageRequest("/api/p", "left", "15000m"));
            client.close();
            Socket next = harness.connect();
            NodeHarness.write(next, Http.pageRequest("/api/p", "next", "15000m"));
            Thread.sleep(WAIT_MS);
            others.get(0).close();
            others.get(1).close();
            assertEquals(200, Http.readMessage(next.getInputStream()).status());
            assertEquals("next", FakeServer.awaitNext(server.requests).headers().get("x-txn"));
            assertEquals(null, server.requests.poll(WAIT_MS, TimeUnit.MILLISECONDS));
        }
    }
}
