package loadbalancer.client;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * The queue of the HTTP messages that a client has pipelined behind the request in service. The caller stops reading
 * when the queue {@linkplain #isFull is full}, as a client may never stop sending.
 *
 * <p>Holds a reference to each part until {@link #poll} passes it to the caller or {@link #release} releases it. Not
 * thread-safe.
 */
public final class PipelinedMessages {
    /** How much is decoded ahead of its turn. The rest of the input is kept undecoded, which takes much less memory. */
    private static final int MAX_DECODED_BYTES = 4 << 10;

    /** Estimated size of a part without its content: the header fields of a head, or the objects that hold a part. */
    private static final int PART_OVERHEAD_BYTES = 512;

    /**
     * A part of a request.
     *
     * @param arrivedAtNanos the earliest time at which it may have arrived; the client's remaining time runs while the
     *     part is queued
     */
    record Part(HttpObject message, long arrivedAtNanos) {}

    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int bytes;

    /** Appends a part and retains it; the caller keeps its own reference. */
    public void add(HttpObject message, long arrivedAtNanos) {
        parts.add(new Part(ReferenceCountUtil.retain(message), arrivedAtNanos));
        bytes += sizeOf(message);
    }

    /** Returns the next part, whose release passes to the caller, or null if there is none. */
    public Part poll() {
        Part next = parts.poll();
        bytes -= next == null ? 0 : sizeOf(next.message());
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns whether reading from the client should pause until parts have been polled. */
    public boolean isFull() {
        return bytes >= MAX_DECODED_BYTES;
    }

    /** Releases all parts. */
    void release() {
        parts.forEach(part -> ReferenceCountUtil.release(part.message()));
        parts.clear();
        bytes = 0;
    }

    private static int sizeOf(HttpObject message) {
        return PART_OVERHEAD_BYTES
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
    }
}
