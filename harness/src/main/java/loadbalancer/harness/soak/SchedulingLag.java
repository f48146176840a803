package loadbalancer.harness.soak;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * How late the threads of the soak itself run: what a server or a client has seen may have happened that much earlier.
 * Thread-safe.
 */
final class SchedulingLag {
    private static final int SAMPLE_MS = 2;
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private record Sample(long atNanos, long lagNanos) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    /** Starts to measure. */
    void start() {
        SoakThreads.start("scheduling lag", this::measure);
    }

    private void measure() throws InterruptedException {
        while (true) {
            long beforeNanos = System.nanoTime();
            Thread.sleep(SAMPLE_MS);
            long nowNanos = System.nanoTime();
            add(new Sample(nowNanos, nowNanos - beforeNanos - TimeUnit.MILLISECONDS.toNanos(SAMPLE_MS)));
        }
    }

    private synchronized void add(Sample sample) {
        samples.add(sample);
        while (samples.peek().atNanos < sample.atNanos - KEPT_NANOS) {
            samples.poll();
        }
    }

    /** Returns the longest lag that was measured since a time, at most two seconds ago; 0 if none was. */
    synchronized long maxNanosSince(long sinceNanos) {
        return samples.stream()
                .filter(sample -> sample.atNanos >= sinceNanos)
                .mapToLong(Sample::lagNanos)
                .max()
                .orElse(0);
    }
}
