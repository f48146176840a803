package loadbalancer.request;

import loadbalancer.transfer.TransferLimits;

/**
 * What has arrived of a response, and when. Times are in microseconds of {@link
 * loadbalancer.common.MonotonicWallClock}. All methods are called on the event loop.
 */
final class ResponseProgress {
    /**
     * How much had arrived at the time of an arrival.
     *
     * @param bytes the bytes of the body, with those of this arrival
     */
    record Arrival(long bytes, long atUs) {}

    private static final Arrival NONE = new Arrival(0, 0);

    private final long announcedLength;
    private final long headAtUs;
    private Arrival first = NONE;
    private Arrival last = NONE;
    private Arrival lastBeforeDeadline = NONE;
    private long longestPauseUs;

    /**
     * Created when the head arrives.
     *
     * @param announcedLength the announced length of the body in bytes, or -1 if there is none
     */
    ResponseProgress(long announcedLength, long nowUs) {
        this.announcedLength = announcedLength;
        headAtUs = nowUs;
    }

    /** Records that bytes of the body have arrived. */
    void onArrival(int newBytes, long nowUs) {
        if (last != NONE) {
            longestPauseUs = Math.max(longestPauseUs, nowUs - last.atUs);
        }
        last = new Arrival(last.bytes + newBytes, nowUs);
        if (first == NONE) {
            first = last;
        }
    }

    /** Records that the client's time is over now. */
    void onDeadline() {
        lastBeforeDeadline = last;
    }

    /** Returns the announced length of the body in bytes, or -1 if there is none. */
    long announcedLength() {
        return announcedLength;
    }

    /** Returns whether the body has no announced length. */
    boolean isLengthUnknown() {
        return announcedLength < 0;
    }

    /** Returns whether the body is known to be too large to be buffered, so that only its first bytes are timed. */
    boolean isLarge() {
        return Math.max(announcedLength, last.bytes) > TransferLimits.MAX_BUFFERED_BYTES;
    }

    /** Returns how many bytes of the body have arrived. */
    long bytes() {
        return last.bytes;
    }

    /** Returns for how long the response has been arriving. */
    long elapsedUs(long nowUs) {
        return nowUs - headAtUs;
    }

    /** Returns for how long nothing has arrived. */
    long pauseUs(long nowUs) {
        return nowUs - Math.max(headAtUs, last.atUs);
    }

    /** Returns the longest pause between two arrivals so far, without the present one. */
    long longestPauseUs() {
        return longestPauseUs;
    }

    /** Returns the first arrival of a part of the body, of which there must be some. */
    Arrival first() {
        return first;
    }

    /** Returns the last arrival so far. */
    Arrival last() {
        return last;
    }

    /** Returns the last arrival before the client's time was over; the first one if there was none, or it is not. */
    Arrival lastBeforeDeadline() {
        return lastBeforeDeadline == NONE ? first : lastBeforeDeadline;
    }
}
