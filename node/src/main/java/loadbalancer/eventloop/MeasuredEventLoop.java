package loadbalancer.eventloop;

import io.netty.channel.IoHandler;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.spi.SelectorProvider;

/** An event loop over NIO channels that sleeps until its timers are due and knows its own lag. */
public final class MeasuredEventLoop extends SingleThreadIoEventLoop {
    /** A loop whose thread has this name. */
    public MeasuredEventLoop(String threadName, boolean daemon) {
        super(null, new DefaultThreadFactory(threadName, daemon), MeasuredEventLoop::handlerFor);
    }

    private static IoHandler handlerFor(ThreadAwareExecutor executor) {
        LoopLag lag = new LoopLag(System::nanoTime);
        lag.measure(
                NioIoHandler.newFactory(SelectorProvider.provider(), () -> lag).newHandler(executor));
        return lag;
    }

    /** How far this loop is behind what has come to its sockets; to be asked from the loop itself. */
    public LoopLag lag() {
        return (LoopLag) ioHandler();
    }
}
