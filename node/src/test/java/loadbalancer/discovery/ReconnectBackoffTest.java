package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The delays before a failed watch is reopened. */
class ReconnectBackoffTest {
    /**
     * The discovery service restarts and all nodes lose their watch at the same time. If all of them reconnected at the
     * same time, the service would be overloaded and fail again.
     */
    @Test
    void delayIsJitteredAndItsMaximumGrowsWithTheNumberOfNodes() {
        assertEquals(500, ReconnectBackoff.jittered(1_000, 0));
        assertEquals(750, ReconnectBackoff.jittered(1_000, 0.5));
        assertEquals(1_000, ReconnectBackoff.maxMillis(3));
        assertEquals(1_400, ReconnectBackoff.maxMillis(14));
        assertEquals(3_000, ReconnectBackoff.maxMillis(200));
    }

    @Test
    void delayDoublesUpToTheMaximumAndRestartsAfterAReset() {
        ReconnectBackoff backoff = new ReconnectBackoff(1, 7);
        for (long expected : new long[] {50, 100, 200, 400, 800, 1_000, 1_000}) {
            assertInUpperHalf(expected, backoff.nextDelayMillis());
        }
        backoff.reset();
        assertInUpperHalf(50, backoff.nextDelayMillis());
    }

    private static void assertInUpperHalf(long maxMillis, long delayMillis) {
        assertTrue(delayMillis >= maxMillis / 2 && delayMillis <= maxMillis, delayMillis + " of " + maxMillis);
    }
}
