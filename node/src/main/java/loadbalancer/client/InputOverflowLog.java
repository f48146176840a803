package loadbalancer.client;

import loadbalancer.common.Log;
import loadbalancer.common.LogThrottle;

/** Logs that input is dropped and its requests are rejected, at most one line a second. Not thread-safe. */
final class InputOverflowLog {
    private final LogThrottle throttle = new LogThrottle(System::nanoTime);

    /**
     * Records an overflow.
     *
     * @param heldBytes the input that the connection holds undecoded
     * @param heldByAllBytes the input that all connections hold undecoded
     */
    void record(long heldBytes, long heldByAllBytes) {
        long connections = throttle.record();
        if (connections > 0) {
            Log.warn(
                    "input_rejected",
                    "connections",
                    connections,
                    "held_bytes",
                    heldBytes,
                    "held_by_all_bytes",
                    heldByAllBytes);
        }
    }
}
