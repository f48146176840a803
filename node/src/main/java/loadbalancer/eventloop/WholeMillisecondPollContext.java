package loadbalancer.eventloop;

import io.netty.channel.IoHandlerContext;

/**
 * An I/O handler context that rounds the time until the next timer up to whole milliseconds.
 *
 * <p>A poll can only wait for whole milliseconds, and Netty rounds the remaining time to the nearest one. For the last
 * half millisecond before a timer it would therefore not wait but poll repeatedly. Each timer would cost hundreds of
 * system calls, and an idle node would use processor time. Rounding up lets the loop sleep instead.
 *
 * <p>Trade-off: a timer may fire up to one millisecond late.
 */
final class WholeMillisecondPollContext implements IoHandlerContext {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** Longer delays mean that there is no timer. They are not rounded, because the sum could overflow. */
    private static final long MAX_DELAY_NANOS = Long.MAX_VALUE / 2;

    private final IoHandlerContext loopContext;

    WholeMillisecondPollContext(IoHandlerContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Returns whether this wraps the given context. */
    boolean wraps(IoHandlerContext context) {
        return loopContext == context;
    }

    @Override
    public boolean canBlock() {
        return loopContext.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
        long delayNanos = loopContext.delayNanos(currentTimeNanos);
        if (delayNanos <= 0 || delayNanos > MAX_DELAY_NANOS) {
            return delayNanos;
        }
        return (delayNanos + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND * NANOS_PER_MILLISECOND;
    }

    @Override
    public long deadlineNanos() {
        return loopContext.deadlineNanos();
    }
}
