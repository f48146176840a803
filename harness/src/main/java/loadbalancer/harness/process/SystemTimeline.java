package loadbalancer.harness.process;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.harness.time.RandomStreams;
import loadbalancer.harness.time.Timeline;

/** A timeline that follows the system's clock and runs all tasks on one event loop. */
final class SystemTimeline implements Timeline {
    private final EventLoop loop;
    private final long seed;
    private final long originNanos = System.nanoTime();
    private final long originMs = System.currentTimeMillis();
    private final AtomicReference<Throwable> failure = new AtomicReference<>();

    SystemTimeline(EventLoop loop, long seed) {
        this.loop = loop;
        this.seed = seed;
    }

    @Override
    public long nowUs() {
        return (System.nanoTime() - originNanos) / 1_000;
    }

    /** Converts a time of this timeline to Unix time in milliseconds. */
    long unixMs(long atUs) {
        return originMs + atUs / 1_000;
    }

    @Override
    public Timer at(long atUs, Runnable task) {
        Future<?> scheduled = loop.schedule(() -> run(task), Math.max(0, atUs - nowUs()), TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs a task on the loop as soon as possible; may be called from any thread. */
    void runSoon(Runnable task) {
        loop.execute(() -> run(task));
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            // The future would swallow the exception, but the run has to fail.
            failure.compareAndSet(null, e);
        }
    }

    /** Returns the first exception of a task, or null. */
    Throwable failure() {
        return failure.get();
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public SplittableRandom stream(String actor) {
        return RandomStreams.stream(seed, actor);
    }
}
