package loadbalancer.common;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A clock of Unix time in microseconds that never goes backwards. It reads the wall clock once, when it is created, and
 * measures the time since then with the monotonic clock.
 *
 * <p>Deadlines, backoffs and ejection times are times of this clock. With the wall clock, an adjustment by an operator
 * or by NTP would move the deadlines of requests in flight: set forward, all of them fail at once; set back, none of
 * them times out.
 *
 * <p>Trade-off: the clock drifts from the wall clock while the process runs. This is harmless, because its times are
 * only compared with each other.
 *
 * <p>Thread-safe.
 */
public final class MonotonicWallClock {
    private final long originUnixUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long originNanos = System.nanoTime();

    /** Returns the current time in microseconds since 1970-01-01 UTC. */
    public long nowUs() {
        return unixMicrosOf(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime} to a time of this clock. */
    public long unixMicrosOf(long nanoTime) {
        return originUnixUs + (nanoTime - originNanos) / 1_000;
    }
}
