package loadbalancer.client;

import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.transfer.RequestBody;

/**
 * A client's request as it arrived.
 *
 * @param head all but its body
 * @param body passed on unchanged; empty where the body is streamed
 * @param streamedBody the body where it is too large to be buffered, else null
 * @param arrivedAtNanos when, at the earliest, its last byte that is known here arrived
 */
public record ClientRequest(Head head, byte[] body, RequestBody streamedBody, long arrivedAtNanos) {
    /**
     * What stands before the body.
     *
     * @param method passed on unchanged, like URI, id and idempotency key
     * @param uri path and query
     * @param requestId the client's id for it
     * @param idempotencyKey or null
     * @param classIndex its class by the settings
     * @param tenantIndex its tenant by the settings, or -1
     * @param remainingUs how long the client waits once it has sent all
     * @param estimatedWorkUs the client's estimate of the work, or 0
     * @param retry whether the client marks it as a retry
     * @param affinityKey what it is about, or null
     * @param acceptsChunked whether its response may be sent in chunks
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
