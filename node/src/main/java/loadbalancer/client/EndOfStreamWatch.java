package loadbalancer.client;

/**
 * Records up to which time it is known that a client had not ended its stream.
 *
 * <p>The end is noticed only by reading up to it. As long as the socket has been read empty and is polled, the client
 * is known to have been there at the last poll. Once bytes have arrived that are not read to their end, or the socket
 * is not polled, nothing is known of the time since. Times are values of {@link System#nanoTime}. Not thread-safe.
 */
final class EndOfStreamWatch {
    /** Whether all that has arrived has been read, and the event loop polls the socket. */
    private boolean upToDate = true;

    /** If not up to date, the latest time at which the stream is known not to have ended. */
    private long confirmedAtNanos;

    /** Records that the socket has been read empty without finding the end, and is polled from now on. */
    void onSocketEmpty() {
        upToDate = true;
    }

    /**
     * Records that bytes have been read behind which the end may follow.
     *
     * @param earliestArrivalNanos the earliest time at which they may have arrived
     */
    void onRead(long earliestArrivalNanos) {
        expire(earliestArrivalNanos);
    }

    /** Records that the socket is no longer polled. */
    void onPollingStopped(long nowNanos) {
        expire(nowNanos);
    }

    private void expire(long atNanos) {
        if (upToDate) {
            upToDate = false;
            confirmedAtNanos = atNanos;
        }
    }

    /**
     * Returns for how long it has been unknown whether the stream has ended.
     *
     * @param polledAtNanos when the event loop last polled the sockets
     */
    long unconfirmedNanos(long nowNanos, long polledAtNanos) {
        return nowNanos - (upToDate ? polledAtNanos : confirmedAtNanos);
    }
}
