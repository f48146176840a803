package loadbalancer.common;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Limits an event to one line of the log a second, and counts what happened since the line before. Without it, a crowd
 * would use up the lines of the log. Not thread-safe.
 */
public final class LogThrottle {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LongSupplier nanoTime;
    private long loggedAtNanos;
    private long occurrences;

    /** @param nanoTime the clock, such as {@link System#nanoTime} */
    public LogThrottle(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        loggedAtNanos = nanoTime.getAsLong() - INTERVAL_NANOS;
    }

    /**
     * Counts an occurrence.
     *
     * @return the number of occurrences since the last line if a line is to be written now, else 0
     */
    public long record() {
        occurrences++;
        long nowNanos = nanoTime.getAsLong();
        if (nowNanos - loggedAtNanos < INTERVAL_NANOS) {
            return 0;
        }
        loggedAtNanos = nowNanos;
        long recorded = occurrences;
        occurrences = 0;
        return recorded;
    }
}
