package loadbalancer.client;

import io.netty.handler.codec.http.HttpMethod;
import loadbalancer.transfer.RequestBody;

/**
 * A client's request as it came.
 *
 * @param head all but its body
 * @param body passed on unchanged; empty where the body flows
 * @param upload the body where it is too large to be gathered, else null
 * @param arrivedAtNanos when, at the earliest, its last byte that is known here came
 */
public record ClientRequest(Head head, byte[] body, RequestBody upload, long arrivedAtNanos) {
    /**
     * What stands before the body.
     *
     * @param method passed on unchanged, like path, id and idempotency key
     * @param uri path and query
     * @param txn the client's id for it
     * @param idempotencyKey or null
     * @param classIndex its class by the settings
     * @param tenant by the settings, or -1
     * @param leftUs how long the client waits once it has sent all
     * @param workUs a guess at the work, or 0
     * @param retry whether the client marks it as a repeat
     * @param key what it is about, or null
     * @param knowsChunks whether its answer may come in chunks
     */
    public record Head(
            HttpMethod method,
            String uri,
            String txn,
            String idempotencyKey,
            int classIndex,
            int tenant,
            long remainingUs,
            long workUs,
            boolean retry,
            String key,
            boolean knowsChunks) {}
}
