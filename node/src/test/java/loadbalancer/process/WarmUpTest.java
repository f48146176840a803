package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** The warm-up of a starting process. */
class WarmUpTest {

    @Test
    void warmUpServesRequestsWithoutDiscovery() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            assertTrue(WarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop) > 0);
            assertEquals(0, harness.discovery.connectionCount.get());
        }
    }

    /**
     * The process has a small part of a core, and its loop is stopped for most of the time. The warm-up still serves
     * all of its requests: one that was cut short left the first clients to a cold node.
     */
    @Test
    void warmUpIsCompleteWithLittleProcessorTime() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.loop.scheduleWithFixedDelay(() -> LockSupport.parkNanos(2_000_000), 0, 1, TimeUnit.MICROSECONDS);
            assertEquals(WarmUp.REQUESTS, WarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop));
        }
    }

    @Test
    void closedNodeLeavesNothingOpen() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery().start(server)) {
            Socket client = harness.connect();
            assertEquals(
                    200, NodeHarness.exchange(client, Http.pageRequest("t")).status());
            harness.node.close();
            assertEquals(-1, client.getInputStream().read());
            FakeServer.awaitNext(server.closedConnections);
            harness.awaitConnectionRefused();
        }
    }
}
