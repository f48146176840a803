package loadbalancer.request;

/**
 * What has arrived of a response, and when. Times are in microseconds of {@link
 * loadbalancer.common.MonotonicWallClock}. All methods are called on the event loop.
 */
final class ResponseProgress {
    private final long announcedLength;
    private final long headAtUs;
    private long lastArrivalUs;
    private long bytes;

    /**
     * Created when the head arrives.
     *
     * @param announcedLength the announced length of the body in bytes, or -1 if there is none
     */
    ResponseProgress(long announcedLength, long nowUs) {
        this.announcedLength = announcedLength;
        headAtUs = nowUs;
        lastArrivalUs = nowUs;
    }

    /** Records that bytes of the body have arrived. */
    void onArrival(int newBytes, long nowUs) {
        bytes += newBytes;
        lastArrivalUs = nowUs;
    }

    /** Returns the announced length of the body in bytes, or -1 if there is none. */
    long announcedLength() {
        return announcedLength;
    }

    /** Returns how many bytes of the body have arrived. */
    long bytes() {
        return bytes;
    }

    /** Returns for how long the response has been arriving. */
    long elapsedUs(long nowUs) {
        return nowUs - headAtUs;
    }

    /** Returns for how long nothing has arrived. */
    long pauseUs(long nowUs) {
        return nowUs - lastArrivalUs;
    }
}
