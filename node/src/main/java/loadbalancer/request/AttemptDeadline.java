package loadbalancer.request;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.TransferEvent;
import loadbalancer.request.LateResponseRule.Verdict;

/**
 * The time by which an attempt has to end, and its timer. A response that is still arriving at that time may go on, by
 * the {@link LateResponseRule}.
 *
 * <p>Times are in microseconds of {@link loadbalancer.common.MonotonicWallClock}. All methods are called on the event
 * loop.
 */
final class AttemptDeadline {
    private final UpstreamAttempt attempt;
    private final ProxiedRequest request;
    private final long endByUs;
    private final RequestServices services;
    private Future<?> timer;
    private boolean decided;

    /** @param endByUs the latest time at which the attempt may end, whatever the time of the client */
    AttemptDeadline(UpstreamAttempt attempt, ProxiedRequest request, long endByUs, RequestServices services) {
        this.attempt = attempt;
        this.request = request;
        this.endByUs = endByUs;
        this.services = services;
    }

    /**
     * Returns when the time of the client ends, or may end if the request has not arrived in full: the client may have
     * written the rest of a streamed body although it has not been read.
     */
    long endUs() {
        if (request.isReceived()) {
            return Math.min(endByUs, request.deadlineUs());
        }
        long writtenSinceUs = services.clock()
                .unixMicrosOf(request.clientRequest().streamedBody().writtenSinceNanos());
        return writtenSinceUs + request.clientRequest().head().remainingUs();
    }

    /** Returns whether it has been decided that a response which was arriving at the deadline goes on. */
    boolean isDecided() {
        return decided;
    }

    /** Returns how much time is left to the client, as far as that is known; 0 if it is over. */
    long remainingUs() {
        return Math.max(0, endUs() - services.clock().nowUs());
    }

    /** Sets the timer to {@link #endUs}. */
    void schedule() {
        schedule(endUs(), this::onPassed);
    }

    private void schedule(long atUs, Runnable task) {
        cancel();
        long delayUs = atUs - services.clock().nowUs();
        timer = services.loop().schedule(task, delayUs, TimeUnit.MICROSECONDS);
    }

    /** Cancels the timer, if it is set. */
    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void onPassed() {
        if (endUs() > services.clock().nowUs()) {
            // The rest of the request may have been written later than it seemed when the timer was set.
            schedule();
            return;
        }
        ResponseProgress response = attempt.response();
        if (response == null || !request.mayStreamResponse()) {
            attempt.expire(EndReason.DEADLINE);
            return;
        }
        Verdict verdict = LateResponseRule.atDeadline(response);
        if (verdict == Verdict.EXPIRE) {
            attempt.expire(EndReason.DEADLINE);
        } else if (verdict == Verdict.DECIDE_LATER) {
            response.onDeadline();
            schedule(endUs() + LateResponseRule.DECISION_DELAY_US, this::decide);
        }
    }

    private void decide() {
        decided = true;
        ResponseProgress response = attempt.response();
        long nowUs = services.clock().nowUs();
        if (LateResponseRule.decide(response, nowUs) == Verdict.EXPIRE) {
            attempt.expire(EndReason.DEADLINE);
        } else if (!response.isLarge()) {
            services.metrics().transfers().increment(TransferEvent.RESPONSE_EXTENDED);
            AttemptLog.logResponse(TransferEvent.RESPONSE_EXTENDED, attempt, request, EndReason.DEADLINE, nowUs);
            schedule(endUs() + LateResponseRule.MAX_UNDECIDED_US, this::expireUnlessLarge);
        }
    }

    private void expireUnlessLarge() {
        if (!attempt.response().isLarge()) {
            attempt.expire(EndReason.DEADLINE);
        }
    }
}
