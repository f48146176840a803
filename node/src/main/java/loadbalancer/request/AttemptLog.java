package loadbalancer.request;

import loadbalancer.client.ClientPresence;
import loadbalancer.common.Log;

/** The log lines about single attempts. */
final class AttemptLog {
    private static final long MICROS_PER_MILLI = 1_000;

    private AttemptLog() {}

    /** Logs that a response which was being passed on has been cut off, after it was streamed for this time. */
    static void logResponseCut(ProxiedRequest request, String serverId, long responseBytes, long streamedUs) {
        Log.warn(
                "response_cut",
                "txn",
                request.clientRequest().head().requestId(),
                "server",
                serverId,
                "bytes",
                responseBytes,
                "streamed_ms",
                streamedUs / MICROS_PER_MILLI);
    }

    /** Logs that an attempt begins although it is not known whether its client has left long before. */
    static void logUnconfirmedClient(ProxiedRequest request, String serverId, int attempt) {
        ClientPresence client = request.clientPresence();
        Log.warn(
                "attempt_unconfirmed",
                "txn",
                request.clientRequest().head().requestId(),
                "server",
                serverId,
                "attempt",
                attempt,
                "unconfirmed_ms",
                client.unconfirmedMillis(),
                "held_bytes",
                client.heldBytes(),
                "held_by_all_bytes",
                client.heldByAllBytes());
    }
}
