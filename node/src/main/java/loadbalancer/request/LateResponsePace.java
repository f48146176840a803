package loadbalancer.request;

import java.util.concurrent.TimeUnit;
import loadbalancer.transfer.TransferLimits;

/**
 * Decides how long a streamed response of unknown length may go on after its deadline.
 *
 * <p>A response of up to {@link TransferLimits#MAX_BUFFERED_BYTES} is due in full by the deadline, and lost if it ends
 * more than 500 ms later. Of a larger one only the first byte is due, and cutting it off loses it. Without an announced
 * length the two look alike until one of them exceeds the limit. After the deadline such a response therefore has to
 * exceed the limit or to keep the pace of a large transfer: each {@link #WINDOW_US} it must bring at least
 * {@link #MIN_BYTES_PER_WINDOW}. That it makes some progress is not enough, as a server could go on like that forever.
 * A response that keeps the pace reaches the limit or its end within
 * {@code MAX_BUFFERED_BYTES / MIN_BYTES_PER_WINDOW} windows.
 *
 * <p>Time in which the client pauses the response does not count. Created at the deadline.
 */
final class LateResponsePace {
    /** What is to become of the response. */
    enum Verdict {
        /** It exceeds the limit, so that it needs no further checks. */
        LARGE,
        /** It may go on until {@link #windowEndUs} at least. */
        ON_PACE,
        /** It is due, and too slow to be a large response. */
        TOO_SLOW
    }

    /**
     * Length of a window. The response is cut off this long after its deadline at the earliest, which leaves 100 ms of
     * the 500 ms for the event loop to be late.
     */
    static final long WINDOW_US = 400_000;

    /** Minimum rate of a large response: half the rate of the slowest transfers on the platform. */
    private static final long MIN_BYTES_PER_SECOND = 32_000;

    static final long MIN_BYTES_PER_WINDOW = MIN_BYTES_PER_SECOND * WINDOW_US / TimeUnit.SECONDS.toMicros(1);

    private long windowStartUs;
    private long windowStartBytes;

    /** @param responseBytes the number of bytes that have arrived by the deadline */
    LateResponsePace(long deadlineUs, long responseBytes) {
        startWindow(deadlineUs, responseBytes);
    }

    /** Returns whether a response of unknown length is large, so that only its first bytes had to meet the deadline. */
    static boolean isLarge(long responseBytes) {
        return responseBytes > TransferLimits.MAX_BUFFERED_BYTES;
    }

    /** Starts a new window, as the last one has ended or the client has resumed the response. */
    void startWindow(long nowUs, long responseBytes) {
        windowStartUs = nowUs;
        windowStartBytes = responseBytes;
    }

    /** Returns the time at which {@link #check} is to be called next. */
    long windowEndUs() {
        return windowStartUs + WINDOW_US;
    }

    /**
     * Judges the response at the end of a window and starts the next one. A check before the end of the window changes
     * nothing.
     *
     * @param responseBytes the number of bytes that have arrived so far
     * @param paused whether the client has paused the response
     */
    Verdict check(long nowUs, long responseBytes, boolean paused) {
        if (isLarge(responseBytes)) {
            return Verdict.LARGE;
        }
        if (nowUs < windowEndUs()) {
            return Verdict.ON_PACE;
        }
        boolean tooSlow = !paused && responseBytes - windowStartBytes < MIN_BYTES_PER_WINDOW;
        startWindow(nowUs, responseBytes);
        return tooSlow ? Verdict.TOO_SLOW : Verdict.ON_PACE;
    }
}
