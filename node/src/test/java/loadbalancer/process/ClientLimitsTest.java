package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.PipelinedMessages;
import org.junit.jupiter.api.Test;

/** Limits on the connections and the pipelined requests of clients. */
class ClientLimitsTest {

    /**
     * Guards against clients that use up all descriptors. Forty clients connect at once, more than the node has
     * descriptors for, and then one more sends a request. The node must close idle connections and serve the request.
     */
    @Test
    void connectionsThatArriveAtOnceEvictIdleOnes() throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.socketLimit = 64;
            harness.start(server);
            CountDownLatch closed = new CountDownLatch(31);
            CountDownLatch release = harness.blockEventLoop();
            for (int i = 0; i < 40; i++) {
                Socket idle = harness.connect();
                idle.setSoTimeout(0);
                Thread reader = new Thread(() -> {
                    try {
                        assertEquals(-1, idle.getInputStream().read());
                    } catch (IOException e) {
                        // A reset is also a close.
                    }
                    closed.countDown();
                });
                reader.setDaemon(true);
                reader.start();
            }
            release.countDown();
            assertEquals(200, harness.exchange(Http.pageRequest("last")).status());
            assertTrue(closed.await(20, TimeUnit.SECONDS), closed.getCount() + " idle connections were not closed");
        }
    }

    @Test
    void pipelinedMessagesAreBounded() {
        PipelinedMessages pipelined = new PipelinedMessages(request -> 0);
        int parts = 0;
        while (!pipelined.isFull()) {
            pipelined.add(LastHttpContent.EMPTY_LAST_CONTENT, 0);
            parts++;
        }
        assertTrue(parts <= 8, parts + " parts");
        pipelined.poll();
        assertFalse(pipelined.isFull());
    }
}
