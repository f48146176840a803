package loadbalancer.eventloop;

import io.netty.channel.IoHandler;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;

/**
 * An event loop for NIO channels that sleeps until its timers are due and measures its lag.
 *
 * <p>All parts of a node run on one such loop, so they share state without locks. Only the membership protocol has a
 * separate loop.
 */
public final class MeasuredEventLoop extends SingleThreadIoEventLoop {
    /**
     * Creates a loop with one thread.
     *
     * @param threadName the name of the thread
     * @param daemon whether the process may end while the loop runs
     */
    public MeasuredEventLoop(String threadName, boolean daemon) {
        super(null, new DefaultThreadFactory(threadName, daemon), MeasuredEventLoop::handlerFor);
    }

    private static IoHandler handlerFor(ThreadAwareExecutor executor) {
        LoopLagMeter lagMeter = new LoopLagMeter(System::nanoTime);
        lagMeter.setHandler(NioIoHandler.newFactory(SelectorProvider.provider(), () -> lagMeter)
                .newHandler(executor));
        return lagMeter;
    }

    /** Returns the meter of this loop's lag. It must be used on the loop only. */
    public LoopLagMeter lagMeter() {
        return (LoopLagMeter) ioHandler();
    }

    /** Runs a task once, as its superclass does. What it throws is logged; it would be lost otherwise. */
    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(() -> runLogged(task), delay, unit);
    }

    /**
     * Runs a task every so many milliseconds until the returned future is cancelled. What a run throws is logged, and
     * the task is run again.
     */
    public Future<?> repeat(Runnable task, long intervalMillis) {
        return scheduleAtFixedRate(() -> runLogged(task), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            Log.error("timer_error", e);
        }
    }
}
