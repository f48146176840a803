package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** The warm-up of a starting process. */
class ProcessWarmUpTest {

    @Test
    void warmUpServesRequestsWithoutDiscovery() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            assertTrue(ProcessWarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop) > 0);
            assertEquals(0, harness.discovery.connectionCount.get());
        }
    }

    /**
     * Guards against a warm-up that ends early, after which the first clients meet a cold node. The event loop pauses
     * for most of the time, as in a process with a small share of a core, and all requests must still be served.
     */
    @Test
    void warmUpIsCompleteWithLittleProcessorTime() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.loop.scheduleWithFixedDelay(() -> LockSupport.parkNanos(2_000_000), 0, 1, TimeUnit.MICROSECONDS);
            assertEquals(
                    ProcessWarmUp.REQUESTS,
                    ProcessWarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop));
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
