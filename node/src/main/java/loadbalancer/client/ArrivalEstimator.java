package loadbalancer.client;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.transfer.TransferLimits;

/**
 * Estimates when the bytes that are read from a connection were written by its client, although they may have waited in
 * buffers while the node did not read. The same holds for connections that wait in the listen queue of a socket: its
 * capacity and its amounts are numbers of connections.
 *
 * <p>Bytes are written after the last time at which the buffers were empty. They are also written after the buffers had
 * room for them: after the bytes that lie the whole capacity before them were read. The estimate is the later of these
 * times, hence the earliest possible one.
 *
 * <p>Times are values of {@link System#nanoTime}. Not thread-safe.
 */
final class ArrivalEstimator {
    /** How many marks cover the buffers. */
    private static final int MARKS_PER_BUFFER = 64;

    /** When the connection had been read up to this offset. */
    private record Mark(long offset, long readAtNanos) {}

    private final int capacity;
    private final List<Mark> marks = new ArrayList<>();
    private long readAmount;

    /** @param capacity how much all buffers on the way may hold, in bytes, or the listen queue */
    ArrivalEstimator(int capacity) {
        this.capacity = capacity;
    }

    /** Creates an estimator for the input of a client, which waits in the sockets of both sides. */
    static ArrivalEstimator ofClientInput() {
        return new ArrivalEstimator(
                TransferLimits.SOCKET_RECEIVE_BUFFER_BYTES + TransferLimits.MAX_PEER_SEND_BUFFER_BYTES);
    }

    /** Records that the buffers are empty now, and that bytes which are written from now on may wait in them. */
    void onEmpty(long nowNanos) {
        marks.clear();
        readAmount = 0;
        marks.add(new Mark(0, nowNanos));
    }

    /** Records that bytes have been read. Returns the earliest time at which the last of them may have been written. */
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

    /** Returns the earliest time at which bytes that have not been read yet may have been written. */
    long earliestUnreadNanos() {
        return marks.get(0).readAtNanos;
    }

    /**
     * Returns the earliest time at which the byte that lies this far behind what has been read may have been written:
     * now, if the buffers have had no room for it yet.
     */
    long earliestUnreadNanos(long distance, long nowNanos) {
        long roomAtOffset = readAmount + distance - capacity;
        if (roomAtOffset > readAmount) {
            return nowNanos;
        }
        int latest = marks.size() - 1;
        while (latest > 0 && marks.get(latest).offset > roomAtOffset) {
            latest--;
        }
        return marks.get(latest).readAtNanos;
    }
}
