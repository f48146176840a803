package loadbalancer.client;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import loadbalancer.transfer.TransferLimits;

/** What a client has sent ahead of the answer that it is due, in order; bounded, as it may never stop. */
public final class PipelinedMessages {
    /** What a part weighs beside its content: its head's fields, or the objects that hold it. */
    private static final int PART_BYTES = 512;

    /** A part of a request, and when it came at the earliest: its client's time runs while it waits here. */
    record Part(HttpObject part, long arrivedAtNanos) {}

    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int bytes;

    /** Keeps a part, beside whoever has it now. */
    public void add(HttpObject part, long arrivedAtNanos) {
        parts.add(new Part(ReferenceCountUtil.retain(part), arrivedAtNanos));
        bytes += weight(part);
    }

    /** The next part, to be released; null if there is none. */
    public Part poll() {
        Part next = parts.poll();
        bytes -= next == null ? 0 : weight(next.part());
        return next;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Whether nothing more should be read until some of it is gone. */
    public boolean isFull() {
        return bytes >= TransferLimits.MAX_BUFFERED_BYTES;
    }

    void release() {
        parts.forEach(waiting -> ReferenceCountUtil.release(waiting.part()));
        parts.clear();
        bytes = 0;
    }

    private static int weight(HttpObject part) {
        return PART_BYTES
                + (part instanceof HttpContent content ? content.content().readableBytes() : 0);
    }
}
