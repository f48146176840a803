package loadbalancer.client;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import loadbalancer.transfer.TransferLimits;

/**
 * The parts of requests that a client has pipelined behind the one that is being served, in order. Their size is
 * bounded, as a client may never stop sending.
 *
 * <p>Holds a reference to each part until {@link #poll} hands it over or {@link #release} drops it. Not thread-safe.
 */
public final class PipelinedMessages {
    /** What a part counts for beside its content: its head's fields, or the objects that hold it. */
    private static final int PART_OVERHEAD_BYTES = 512;

    /** A part of a request, and when it arrived at the earliest: its client's time runs while it waits here. */
    record Part(HttpObject message, long arrivedAtNanos) {}

    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int bytes;

    /** Appends a part and retains it; the caller keeps its own reference. */
    public void add(HttpObject message, long arrivedAtNanos) {
        parts.add(new Part(ReferenceCountUtil.retain(message), arrivedAtNanos));
        bytes += sizeOf(message);
    }

    /** Returns the next part, which the caller is to release, or null if there is none. */
    public Part poll() {
        Part next = parts.poll();
        bytes -= next == null ? 0 : sizeOf(next.message());
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether nothing more should be read from the client until parts have been taken. */
    public boolean isFull() {
        return bytes >= TransferLimits.MAX_BUFFERED_BYTES;
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
