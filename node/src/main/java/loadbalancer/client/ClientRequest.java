package loadbalancer.client;

import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.transfer.RequestBody;

/**
 * A client's request as received.
 *
 * @param head everything but the body
 * @param body the buffered body, forwarded unchanged; empty if the body is streamed
 * @param streamedBody the body if it is too large to be buffered, else null
 * @param arrivedAtNanos the earliest time at which the last part read so far may have arrived, by
 *     {@link System#nanoTime}
 */
public record ClientRequest(Head head, byte[] body, RequestBody streamedBody, long arrivedAtNanos) {
    /**
     * The request line and header fields of a request.
     *
     * @param method forwarded unchanged, as are the URI, the id and the idempotency key
     * @param uri path and query, without scheme and authority
     * @param requestId the id that the client gave to the request
     * @param idempotencyKey the idempotency key, or null
     * @param classIndex index of the request class in the settings
     * @param tenantIndex index of the tenant in the settings, or -1 if there is none or it is unknown
     * @param remainingUs how long the client waits for the response after it has sent the whole request
     * @param estimatedWorkUs the client's estimate of the work in microseconds, or 0 if it gave none
     * @param retry whether the client marked the request as a retry
     * @param affinityKey the last segment of the path, or null if that is empty
     * @param acceptsChunked whether the client accepts a chunked response: HTTP/1.1 or later
     */
    public record Head(
            HttpMethod method,
            String uri,
            String requestId,
            String idempotencyKey,
            int classIndex,
            int tenantIndex,
            long remainingUs,
            long estimatedWorkUs,
            boolean retry,
            String affinityKey,
            boolean acceptsChunked) {}
}
