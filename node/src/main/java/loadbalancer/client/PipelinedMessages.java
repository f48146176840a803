package loadbalancer.client;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.ToIntFunction;

/**
 * The queue of the HTTP messages that a client has pipelined behind the request in service. The caller stops reading
 * when the queue {@linkplain #isFull is full}, as a client may never stop sending.
 *
 * <p>If the caller has to read on nevertheless, {@link #startRejecting} makes the queue drop further requests and count
 * them, so that each can be rejected in its turn.
 *
 * <p>Holds a reference to each part until {@link #poll} passes it to the caller or {@link #release} releases it. Not
 * thread-safe.
 */
public final class PipelinedMessages {
    /** How much is decoded ahead of its turn. The rest of the input is kept undecoded, which takes much less memory. */
    private static final int MAX_DECODED_BYTES = 4 << 10;

    /** Estimated size of a part without its content: the header fields of a head, or the objects that hold a part. */
    private static final int PART_OVERHEAD_BYTES = 512;

    /** What the queue consists of: parts of requests, or requests that have been dropped. */
    sealed interface Entry permits Part, RejectedRequests {}

    /**
     * A part of a request.
     *
     * @param arrivedAtNanos the earliest time at which it may have arrived; the client's remaining time runs while the
     *     part is queued
     */
    record Part(HttpObject message, long arrivedAtNanos) implements Entry {}

    private final ToIntFunction<HttpRequest> classifier;
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private int bytes;
    private boolean rejecting;

    /** @param classifier returns the class of a request that is dropped, or {@link RejectedRequests#NO_CLASS} */
    public PipelinedMessages(ToIntFunction<HttpRequest> classifier) {
        this.classifier = classifier;
    }

    /** Appends a part, and retains it if it is kept; the caller keeps its own reference. */
    public void add(HttpObject message, long arrivedAtNanos) {
        RejectedRequests dropped = lastRejected();
        boolean startsRequest = message instanceof HttpRequest;
        if (startsRequest && rejecting) {
            addRejected(message);
        } else if (!startsRequest && dropped != null) {
            dropped.add(message);
        } else {
            append(new Part(ReferenceCountUtil.retain(message), arrivedAtNanos));
        }
    }

    private RejectedRequests lastRejected() {
        return entries.peekLast() instanceof RejectedRequests rejected ? rejected : null;
    }

    private void addRejected(HttpObject message) {
        RejectedRequests rejected = lastRejected();
        if (rejected == null) {
            rejected = new RejectedRequests(classifier);
            entries.add(rejected);
            bytes += PART_OVERHEAD_BYTES;
        }
        rejected.add(message);
    }

    private void append(Part part) {
        entries.add(part);
        bytes += sizeOf(part.message);
    }

    /**
     * Drops and counts the requests that start from now on, and the last one if its end has not been read. The caller
     * need not stop reading until {@link #stopRejecting}.
     */
    void startRejecting() {
        rejecting = true;
        HttpRequest incomplete = removeIncompleteRequest();
        if (incomplete != null) {
            addRejected(incomplete);
            ReferenceCountUtil.release(incomplete);
        }
    }

    /** Removes the last request if its end has not been read, and returns its head, or null if there is none. */
    private HttpRequest removeIncompleteRequest() {
        HttpRequest head = null;
        while (head == null && entries.peekLast() instanceof Part part && !(part.message instanceof LastHttpContent)) {
            entries.removeLast();
            bytes -= sizeOf(part.message);
            if (part.message instanceof HttpRequest request) {
                head = request;
            } else {
                ReferenceCountUtil.release(part.message);
            }
        }
        return head;
    }

    /** Keeps the requests that start from now on. */
    void stopRejecting() {
        rejecting = false;
    }

    boolean isRejecting() {
        return rejecting;
    }

    /** Returns whether the next request is to be rejected, by {@link #pollRejected}. */
    boolean isNextRejected() {
        return entries.peek() instanceof RejectedRequests;
    }

    /** Removes the next request, which is to be rejected. */
    RejectedRequests.Rejection pollRejected() {
        RejectedRequests rejected = (RejectedRequests) entries.peek();
        RejectedRequests.Rejection next = rejected.poll();
        if (rejected.isEmpty()) {
            entries.poll();
            bytes -= PART_OVERHEAD_BYTES;
        }
        return next;
    }

    /**
     * Returns the next part, whose release passes to the caller, or null if there is none. The next request must not
     * be rejected.
     */
    public Part poll() {
        Part next = (Part) entries.poll();
        bytes -= next == null ? 0 : sizeOf(next.message());
        return next;
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns whether reading from the client should pause until parts have been polled. */
    public boolean isFull() {
        return bytes >= MAX_DECODED_BYTES && !rejecting;
    }

    /** Releases all parts. */
    void release() {
        for (Entry entry : entries) {
            if (entry instanceof Part part) {
                ReferenceCountUtil.release(part.message());
            }
        }
        entries.clear();
        bytes = 0;
    }

    private static int sizeOf(HttpObject message) {
        return PART_OVERHEAD_BYTES
                + (message instanceof HttpContent content ? content.content().readableBytes() : 0);
    }
}
