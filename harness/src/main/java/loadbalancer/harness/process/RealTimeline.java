package loadbalancer.harness.process;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.harness.time.RandomStreams;
import loadbalancer.harness.time.Timeline;

/** The system's time, on one event loop: what is scheduled runs there one after the other. */
final class RealTimeline implements Timeline {
    private final EventLoop loop;
    private final long seed;
    private final long originNanos = System.nanoTime();
    private final long originMs = System.currentTimeMillis();
    private final AtomicReference<Throwable> failure = new AtomicReference<>();

    RealTimeline(EventLoop loop, long seed) {
        this.loop = loop;
        this.seed = seed;
    }

    @Override
    public long nowUs() {
        return (System.nanoTime() - originNanos) / 1_000;
    }

    /** The same as Unix time. */
    long unixMs(long atUs) {
        return originMs + atUs / 1_000;
    }

    @Override
    public Timer at(long atUs, Runnable what) {
        Future<?> planned = loop.schedule(() -> run(what), Math.max(0, atUs - nowUs()), TimeUnit.MICROSECONDS);
        return () -> planned.cancel(false);
    }

    /** Runs it on the loop, as soon as may be. */
    void soon(Runnable what) {
        loop.execute(() -> run(what));
    }

    private void run(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            // A future would keep it to itself; the run has to fail by it.
            failure.compareAndSet(null, e);
        }
    }

    /** The first thing scheduled that failed, or null. */
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
