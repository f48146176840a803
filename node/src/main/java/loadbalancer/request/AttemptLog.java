package loadbalancer.request;

import loadbalancer.client.ClientPresence;
import loadbalancer.common.Log;
import loadbalancer.common.TransferEvent;
import loadbalancer.transfer.RequestBody;

/** The log lines about single attempts. */
final class AttemptLog {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private AttemptLog() {}

    /** Logs and counts what is broken off with an attempt that the node ends by itself. */
    static void recordExpiry(
            UpstreamAttempt attempt, ProxiedRequest request, EndReason reason, RequestServices services) {
        if (request.clientRequest().streamedBody() != null && !request.isReceived()) {
            services.metrics().transfers().increment(TransferEvent.UPLOAD_EXPIRED);
            logUploadExpired(attempt, request, reason);
        }
        if (attempt.response() != null) {
            TransferEvent event =
                    attempt.isResponseStarted() ? TransferEvent.RESPONSE_CUT : TransferEvent.RESPONSE_ABANDONED;
            services.metrics().transfers().increment(event);
            logResponse(event, attempt, request, reason, services.clock().nowUs());
        }
    }

    /** Logs what the node did with a response that is arriving. */
    static void logResponse(
            TransferEvent event, UpstreamAttempt attempt, ProxiedRequest request, EndReason reason, long nowUs) {
        ResponseProgress response = attempt.response();
        Log.warn(
                event.label(),
                "txn",
                request.clientRequest().head().requestId(),
                "server",
                attempt.serverId(),
                "reason",
                reason.label(),
                "length",
                response.announcedLength(),
                "bytes",
                response.bytes(),
                "arriving_ms",
                response.elapsedUs(nowUs) / MICROS_PER_MILLI,
                "pause_ms",
                response.pauseUs(nowUs) / MICROS_PER_MILLI,
                "late_ms",
                lateMillis(request, nowUs));
    }

    /** Returns for how long the client's time has been over; 0 if it runs from an end that has not been read. */
    private static long lateMillis(ProxiedRequest request, long nowUs) {
        return request.isReceived() ? (nowUs - request.deadlineUs()) / MICROS_PER_MILLI : 0;
    }

    /** Logs that an attempt has ended before the rest of the request's body was read. */
    private static void logUploadExpired(UpstreamAttempt attempt, ProxiedRequest request, EndReason reason) {
        RequestBody body = request.clientRequest().streamedBody();
        Log.warn(
                TransferEvent.UPLOAD_EXPIRED.label(),
                "txn",
                request.clientRequest().head().requestId(),
                "server",
                attempt.serverId(),
                "attempt",
                attempt.number(),
                "reason",
                reason.label(),
                "length",
                body.length(),
                "arrived",
                body.arrivedBytes(),
                "forwarded",
                body.forwardedBytes(),
                "written_ms",
                (System.nanoTime() - body.writtenSinceNanos()) / NANOS_PER_MILLI);
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
