package loadbalancer.request;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The time by which an attempt has to end, and its timer. Times are in microseconds of {@link
 * loadbalancer.common.MonotonicWallClock}. All methods are called on the event loop.
 */
final class AttemptDeadline {
    private final ProxiedRequest request;
    private final long endByUs;
    private final RequestServices services;
    private final Runnable onPassed;
    private Future<?> timer;

    /**
     * @param endByUs the latest time at which the attempt may end, whatever the time of the client
     * @param onPassed called when the timer fires
     */
    AttemptDeadline(ProxiedRequest request, long endByUs, RequestServices services, Runnable onPassed) {
        this.request = request;
        this.endByUs = endByUs;
        this.services = services;
        this.onPassed = onPassed;
    }

    /**
     * Returns when the time of the client ends, or may end if the request has not arrived in full: the rest of a
     * streamed body may have arrived although it has not been read.
     */
    long endUs() {
        if (request.isReceived()) {
            return Math.min(endByUs, request.deadlineUs());
        }
        long unreadSinceUs = services.clock()
                .unixMicrosOf(request.clientRequest().streamedBody().unreadSinceNanos());
        return unreadSinceUs + request.clientRequest().head().remainingUs();
    }

    /** Sets the timer to {@link #endUs}. */
    void schedule() {
        cancel();
        long delayUs = endUs() - services.clock().nowUs();
        timer = services.loop().schedule(onPassed, delayUs, TimeUnit.MICROSECONDS);
    }

    /** Cancels the timer, if it is set. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
