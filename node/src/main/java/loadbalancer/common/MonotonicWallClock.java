package loadbalancer.common;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time in microseconds that never goes back: the wall clock is read once, when this clock is made, and the
 * monotonic clock measures the time since then.
 *
 * <p>Deadlines, backoffs and ejection times are points on this clock. If each were read from the wall clock, an
 * operator or NTP that sets it while requests are in flight would move their deadlines: set forward, all of them fail
 * at once; set back, none of them times out. The price is that the time drifts from the wall clock over a long life
 * of the process, which is harmless, as times are compared only with each other.
 *
 * <p>Thread-safe.
 */
public final class MonotonicWallClock {
    private final long originUnixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long originNanos = System.nanoTime();

    /** The time now, in microseconds since 1970. */
    public long nowUs() {
        return unixMicrosOf(System.nanoTime());
    }

    /** A reading of {@link System#nanoTime} as a time of this clock. */
    public long unixMicrosOf(long nanoTime) {
        return originUnixUs + (nanoTime - originNanos) / 1_000;
    }
}
