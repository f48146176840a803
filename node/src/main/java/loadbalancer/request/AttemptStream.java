package loadbalancer.request;

import loadbalancer.common.MonotonicWallClock;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;

/**
 * The streamed part of an attempt: a request's body, a response, or both. It passes backpressure on to the server and
 * tells whether the server has stalled.
 *
 * <p>Only an attempt of which something is streamed has one. Runs on the event loop.
 */
final class AttemptStream implements FlowControl {
    /** A server that takes and sends nothing for this long, amid something that is streamed, has failed. */
    private static final long STALL_TIMEOUT_US = 10_000_000;

    /**
     * The same for a response of unknown length after the deadline, as long as it may be one whose last byte is due by
     * then: a client takes a response for lost that comes half a second after its deadline.
     */
    static final long LATE_STALL_TIMEOUT_US = 400_000;

    private final MonotonicWallClock clock;
    /** When something last moved, or could not because of the client. */
    private long lastProgressUs;

    /** How much of the request's body had been forwarded when it was last checked for a stall. */
    private long lastCheckedForwardedBytes;

    /** Where the response comes from; null until there is one. */
    private FlowControl responseSource;

    private long responseBytes;
    private boolean responsePaused;

    AttemptStream(MonotonicWallClock clock, long startedAtUs) {
        this.clock = clock;
        lastProgressUs = startedAtUs;
    }

    // ---------------------------------------------------------------- the response

    void onResponseStarted(FlowControl source) {
        responseSource = source;
    }

    void onResponsePart(int bytes) {
        lastProgressUs = clock.nowUs();
        responseBytes += bytes;
    }

    @Override
    public void pauseReading() {
        responsePaused = true;
        responseSource.pauseReading();
    }

    @Override
    public void resumeReading() {
        responsePaused = false;
        lastProgressUs = clock.nowUs();
        responseSource.resumeReading();
    }

    // ---------------------------------------------------------------- stalls

    /** Whether more of the response has arrived than would be buffered. */
    boolean isLargeResponse() {
        return responseBytes > TransferLimits.MAX_BUFFERED_BYTES;
    }

    /** Whether the response has stalled for longer than is allowed after the deadline. */
    boolean isStalledLate(long nowUs) {
        return !responsePaused && nowUs - lastProgressUs >= LATE_STALL_TIMEOUT_US;
    }

    /** When to ask {@link #isStalledLate} again. */
    long nextLateCheckUs(long nowUs) {
        return (responsePaused ? nowUs : lastProgressUs) + LATE_STALL_TIMEOUT_US;
    }

    /**
     * Whether the server has neither taken nor sent anything for too long; called now and then.
     *
     * @param body the request's body where it is streamed, else null
     */
    boolean isStalled(RequestBody body, long nowUs) {
        boolean blockedByServer;
        if (responseSource == null) {
            blockedByServer = body.isBlockedByServer() && body.forwardedBytes() == lastCheckedForwardedBytes;
            lastCheckedForwardedBytes = body.forwardedBytes();
        } else {
            blockedByServer = !responsePaused;
        }
        if (!blockedByServer) {
            lastProgressUs = nowUs;
        }
        return nowUs - lastProgressUs > STALL_TIMEOUT_US;
    }
}
