package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** What a starting process does before it listens. */
class WarmUpTest {

    @Test
    void requestsAreServedWithNoWordToDiscovery() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            assertTrue(WarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop) > 0);
            assertEquals(0, harness.discovery.connectionCount.get());
        }
    }

    @Test
    void littleCpuDoesNotCutItShort() throws Exception {
        try (NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            // The loop stands still for most of the time, as it does where the process has a part of a core.
            harness.loop.scheduleWithFixedDelay(() -> LockSupport.parkNanos(2_000_000), 0, 1, TimeUnit.MICROSECONDS);
            assertEquals(WarmUp.REQUESTS, WarmUp.run(harness.config(NodeHarness.endpointList(1, true)), harness.loop));
        }
    }

    @Test
    void aNodeThatIsClosedLeavesNothingOpen() throws Exception {
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
