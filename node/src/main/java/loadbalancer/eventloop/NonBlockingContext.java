package loadbalancer.eventloop;

import io.netty.channel.IoHandlerContext;

/** An I/O handler context that makes a poll return at once. */
final class NonBlockingContext implements IoHandlerContext {
    private final IoHandlerContext context;

    NonBlockingContext(IoHandlerContext context) {
        this.context = context;
    }

    @Override
    public boolean canBlock() {
        return false;
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
        return 0;
    }

    @Override
    public long deadlineNanos() {
        return context.deadlineNanos();
    }
}
