package loadbalancer.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates when the bytes that are read from a connection arrived at the node, although they may have waited in the
 * receive buffer of the socket while the node did not read. The same holds for connections that wait in the listen
 * queue of a socket: its capacity and its amounts are numbers of connections.
 *
 * <p>Bytes arrive after the last time at which the buffer was empty. They also arrive after the buffer had room for
 * them: after the bytes that lie a whole buffer before them were read. The estimate is the later of these times, hence
 * the earliest possible arrival. Bytes that waited in the client's own buffers had not arrived yet.
 *
 * <p>Times are values of {@link System#nanoTime}. Not thread-safe.
 */
final class ArrivalEstimator {
    /** How many marks cover the receive buffer. */
    private static final int MARKS_PER_BUFFER = 16;

    /** When the connection had been read up to this offset. */
    private record Mark(long offset, long readAtNanos) {}

    private final int capacity;
    private final List<Mark> marks = new ArrayList<>();
    private long readAmount;

    /** @param capacity how much the receive buffer of the socket may hold, in bytes, or the listen queue */
    ArrivalEstimator(int capacity) {
        this.capacity = capacity;
    }

    /** Records that the receive buffer is empty now, and that bytes which arrive from now on may wait in it. */
    void onEmpty(long nowNanos) {
        marks.clear();
        readAmount = 0;
        marks.add(new Mark(0, nowNanos));
    }

    /** Records that bytes have been read, and returns the earliest time at which the last of them may have arrived. */
    long onRead(int amount, long nowNanos) {
        readAmount += amount;
        while (marks.size() > 1 && marks.get(1).offset <= readAmount - capacity) {
            marks.remove(0);
        }
        long earliestNanos = earliestUnreadNanos();
        if (readAmount - marks.get(marks.size() - 1).offset >= capacity / MARKS_PER_BUFFER) {
            marks.add(new Mark(readAmount, nowNanos));
        }
        return earliestNanos;
    }

    /** Returns the earliest time at which bytes that have not been read yet may have arrived. */
    long earliestUnreadNanos() {
        return marks.get(0).readAtNanos;
    }
}
