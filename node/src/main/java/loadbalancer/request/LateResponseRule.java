package loadbalancer.request;

import loadbalancer.request.ResponseProgress.Arrival;
import loadbalancer.transfer.TransferLimits;

/**
 * Decides what becomes of a response that is still arriving when the time of its client is over.
 *
 * <p>A response of up to {@link TransferLimits#MAX_BUFFERED_BYTES} is due in full by the deadline, and it is lost if
 * its client gets neither its end nor a failure within half a second after that. Of a larger one only the first bytes
 * are due, and cutting it off loses it. Without an announced length, the two cannot be told apart for certain until one
 * of them ends or exceeds the limit. The decision is therefore made as late as the client allows, and by what is most
 * likely then: a response goes on if it is still flowing and would exceed the limit soon.
 *
 * <p>A response that goes on is not cut off for its pace any more: if it was a small one, it is lost already.
 */
final class LateResponseRule {
    /** What is to become of the response. */
    enum Verdict {
        /** It is late, and the request fails. */
        EXPIRE,
        /** It may go on until the decision, {@link #DECISION_DELAY_US} after the deadline. */
        DECIDE_LATER,
        /** It goes on. */
        CONTINUE
    }

    /**
     * How long after the deadline the decision is made: half a second less the 150 ms for which the platform may hold
     * up a process.
     */
    static final long DECISION_DELAY_US = 350_000;

    /** How long after the deadline a response that goes on has to exceed the limit. */
    static final long MAX_UNDECIDED_US = 10_000_000;

    /**
     * The time in which a response has to exceed the limit at its present pace. One that begins at its deadline at 64
     * kB/s, the slowest transfer on the platform, needs 0.67 s more; the rest allows for parts of unequal size.
     */
    private static final long MAX_REMAINING_US = 800_000;

    /** A body that has arrived within this time is one part, which tells nothing about pauses. */
    private static final long ONE_PART_US = 100_000;

    /** A present pause of more than this many times the longest one before is taken for the end of the flow. */
    private static final int PAUSE_FACTOR = 2;

    private LateResponseRule() {}

    /** Decides at the deadline. */
    static Verdict atDeadline(ResponseProgress response) {
        boolean isKnownToBeSmall = !response.isLengthUnknown() && !response.isLarge();
        if (isKnownToBeSmall) {
            return Verdict.EXPIRE;
        }
        return response.isLarge() && response.bytes() > 0 ? Verdict.CONTINUE : Verdict.DECIDE_LATER;
    }

    /** Decides {@link #DECISION_DELAY_US} after the deadline, or before it if the process is about to end. */
    static Verdict decide(ResponseProgress response, long nowUs) {
        if (response.bytes() == 0) {
            return Verdict.EXPIRE;
        }
        if (response.isLarge()) {
            return Verdict.CONTINUE;
        }
        boolean goesOn = !hasStopped(response, nowUs) && remainingUs(response, nowUs) <= MAX_REMAINING_US;
        return goesOn ? Verdict.CONTINUE : Verdict.EXPIRE;
    }

    private static boolean isOnePart(ResponseProgress response) {
        return response.last().atUs() - response.first().atUs() < ONE_PART_US;
    }

    private static boolean hasStopped(ResponseProgress response, long nowUs) {
        long pauseUs = response.pauseUs(nowUs);
        return !isOnePart(response)
                && pauseUs >= DECISION_DELAY_US
                && pauseUs > PAUSE_FACTOR * response.longestPauseUs();
    }

    /** Returns how long it would take the response to exceed the limit at its present pace. */
    private static double remainingUs(ResponseProgress response, long nowUs) {
        long remainingBytes = TransferLimits.MAX_BUFFERED_BYTES + 1 - response.bytes();
        if (isOnePart(response)) {
            long elapsedUs = nowUs - response.first().atUs();
            return (double) remainingBytes * elapsedUs / response.bytes();
        }
        Arrival from = flowStart(response);
        // As long as a pause is not longer than others were, the flow is not slower than it was.
        long excessPauseUs = Math.max(0, response.pauseUs(nowUs) - response.longestPauseUs());
        long flowUs = response.last().atUs() - from.atUs() + excessPauseUs;
        return (double) remainingBytes * flowUs / (response.bytes() - from.bytes());
    }

    /** Returns the arrival from which on the pace counts: as late as the parts are fine enough for. */
    private static Arrival flowStart(ResponseProgress response) {
        boolean isFine = PAUSE_FACTOR * response.longestPauseUs() <= DECISION_DELAY_US;
        return isFine ? response.lastBeforeDeadline() : response.first();
    }
}
