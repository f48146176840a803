package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import loadbalancer.transfer.TransferLimits;

/**
 * Input of one connection that has been read ahead and not been decoded, in order, and its part of the {@link
 * ReadAheadBudget}. Owns the buffers until they are polled or discarded.
 */
final class HeldInput {
    /**
     * Bytes that have been read ahead.
     *
     * @param arrivedAtNanos the earliest time at which they may have arrived, by {@link System#nanoTime}
     */
    record Segment(ByteBuf bytes, int accountedBytes, long arrivedAtNanos) {}

    private final ReadAheadBudget budget;
    private final ArrayDeque<Segment> segments = new ArrayDeque<>();
    private long bytes;
    private long readableBytes;

    HeldInput(ReadAheadBudget budget) {
        this.budget = budget;
    }

    boolean isEmpty() {
        return segments.isEmpty();
    }

    /** Returns how much of the budget is used. */
    long bytes() {
        return bytes;
    }

    /** Returns whether the result of another read may be added. */
    boolean hasRoom() {
        return budget.allows(bytes, TransferLimits.MAX_READ_BYTES);
    }

    /** Returns how many bytes of input are held. */
    long readableBytes() {
        return readableBytes;
    }

    /** Returns when the byte at this position, counted from 1, may have arrived at the earliest. */
    long arrivedAtNanos(long position) {
        long end = 0;
        for (Segment segment : segments) {
            end += segment.bytes.readableBytes();
            if (position <= end) {
                return segment.arrivedAtNanos;
            }
        }
        throw new IllegalArgumentException("not held: " + position);
    }

    /** Appends bytes and takes ownership of them. */
    void add(ByteBuf read, long arrivedAtNanos) {
        ByteBuf compact = read;
        if (read.readableBytes() < read.capacity() / 2) {
            compact = TransferLimits.ALLOCATOR.buffer(read.readableBytes()).writeBytes(read);
            read.release();
        }
        budget.acquire(compact.capacity());
        bytes += compact.capacity();
        readableBytes += compact.readableBytes();
        segments.add(new Segment(compact, compact.capacity(), arrivedAtNanos));
    }

    /** Removes the first segment, whose buffer passes to the caller, or returns null if there is none. */
    Segment poll() {
        Segment first = segments.poll();
        if (first != null) {
            budget.release(first.accountedBytes);
            bytes -= first.accountedBytes;
            readableBytes -= first.bytes.readableBytes();
        }
        return first;
    }

    /** Releases everything. */
    void discard() {
        Segment next;
        while ((next = poll()) != null) {
            next.bytes.release();
        }
    }
}
