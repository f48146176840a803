package loadbalancer.eventloop;

import io.netty.channel.IoHandler;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.spi.SelectorProvider;

/**
 * An event loop over NIO channels that sleeps until its timers are due and measures its own lag.
 *
 * <p>All of a node runs on one such loop: what its parts share needs no lock.
 */
public final class MeasuredEventLoop extends SingleThreadIoEventLoop {
    /**
     * @param threadName the name of its one thread
     * @param daemon whether the process may end while the loop runs
     */
    public MeasuredEventLoop(String threadName, boolean daemon) {
        super(null, new DefaultThreadFactory(threadName, daemon), MeasuredEventLoop::handlerFor);
    }

    private static IoHandler handlerFor(ThreadAwareExecutor executor) {
        LoopLagMeter lagMeter = new LoopLagMeter(System::nanoTime);
        lagMeter.measure(NioIoHandler.newFactory(SelectorProvider.provider(), () -> lagMeter)
                .newHandler(executor));
        return lagMeter;
    }

    /** Measures how far this loop lags behind its sockets; to be used on the loop itself. */
    public LoopLagMeter lagMeter() {
        return (LoopLagMeter) ioHandler();
    }
}
