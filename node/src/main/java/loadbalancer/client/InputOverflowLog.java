package loadbalancer.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;

/**
 * Logs that input is dropped and its requests are rejected. At most one line a second, which tells how many connections
 * have had this since the line before: a crowd would otherwise use up the lines of the log. Not thread-safe.
 */
final class InputOverflowLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long loggedAtNanos = System.nanoTime() - INTERVAL_NANOS;
    private long connections;

    /**
     * Records an overflow.
     *
     * @param heldBytes the input that the connection holds undecoded
     * @param heldByAllBytes the input that all connections hold undecoded
     */
    void record(long heldBytes, long heldByAllBytes) {
        connections++;
        long nowNanos = System.nanoTime();
        if (nowNanos - loggedAtNanos < INTERVAL_NANOS) {
            return;
        }
        Log.warn(
                "input_rejected",
                "connections",
                connections,
                "held_bytes",
                heldBytes,
                "held_by_all_bytes",
                heldByAllBytes);
        loggedAtNanos = nowNanos;
        connections = 0;
    }
}
