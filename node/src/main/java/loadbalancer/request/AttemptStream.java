package loadbalancer.request;

import loadbalancer.common.MonotonicWallClock;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * The state of what an attempt streams: a request body, a response, or both. It forwards backpressure from the client
 * to the source of the response and detects a stalled server.
 *
 * <p>Exists only for an attempt that streams something. All methods are called on the event loop.
 */
final class AttemptStream implements FlowControl {
    /** Maximum time for which a server may neither read nor send anything of what is being streamed. */
    private static final long STALL_TIMEOUT_US = 10_000_000;

    private final MonotonicWallClock clock;
    /** When the server last made progress, or was last found not to be the cause of a stall. */
    private long lastProgressUs;

    /** The number of forwarded bytes of the request body at the last check for a stall. */
    private long lastCheckedForwardedBytes;

    /** The source of the response; null until the response has started. */
    private FlowControl responseSource;

    private boolean responsePaused;

    AttemptStream(MonotonicWallClock clock, long startedAtUs) {
        this.clock = clock;
        lastProgressUs = startedAtUs;
    }

    // ---------------------------------------------------------------- the response

    void onResponseStarted(FlowControl source) {
        responseSource = source;
    }

    void onResponsePart() {
        lastProgressUs = clock.nowUs();
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

    /**
     * Returns whether the server has neither read nor sent anything for {@link #STALL_TIMEOUT_US}. Called periodically:
     * the progress of the request body is measured from one call to the next. Once the response has started, only the
     * response counts.
     *
     * @param body the request body if it is streamed, else null
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
