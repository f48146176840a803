package loadbalancer.client;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates when the bytes that are read from a connection arrived at the node, although they may have waited in the
 * receive buffer of the socket while the node did not read.
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

    private final int receiveBufferBytes;
    private final List<Mark> marks = new ArrayList<>();
    private long readBytes;

    /** @param receiveBufferBytes how many bytes the receive buffer of the socket may hold */
    ArrivalEstimator(int receiveBufferBytes) {
        this.receiveBufferBytes = receiveBufferBytes;
    }

    /** Records that the receive buffer is empty now, and that bytes which arrive from now on may wait in it. */
    void onEmpty(long nowNanos) {
        marks.clear();
        readBytes = 0;
        marks.add(new Mark(0, nowNanos));
    }

    /** Records that bytes have been read, and returns the earliest time at which the last of them may have arrived. */
    long onRead(int bytes, long nowNanos) {
        readBytes += bytes;
        while (marks.size() > 1 && marks.get(1).offset <= readBytes - receiveBufferBytes) {
            marks.remove(0);
        }
        long earliestNanos = earliestUnreadNanos();
        if (readBytes - marks.get(marks.size() - 1).offset >= receiveBufferBytes / MARKS_PER_BUFFER) {
            marks.add(new Mark(readBytes, nowNanos));
        }
        return earliestNanos;
    }

    /** Returns the earliest time at which bytes that have not been read yet may have arrived. */
    long earliestUnreadNanos() {
        return marks.get(0).readAtNanos;
    }
}
