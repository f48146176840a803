package loadbalancer.eventloop;

import io.netty.channel.IoHandlerContext;

/**
 * Lets a poll of the loop wait until the next timer is due, in whole milliseconds, rounded up.
 *
 * <p>Guards against a busy loop before each timer: a poll waits for whole milliseconds, and Netty rounds the time
 * that is left to the nearest one, so that it does not wait at all for the last half millisecond but polls again and
 * again until the timer is due. Each timer then costs hundreds of system calls, which shows as processor time of an
 * idle node. Rounded up, the loop sleeps, and a timer is at most one millisecond late.
 */
final class WholeMillisecondPollContext implements IoHandlerContext {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    /** Longer delays stand for "no timer" and must not overflow. */
    private static final long MAX_DELAY_NANOS = Long.MAX_VALUE / 2;

    private final IoHandlerContext loopContext;

    WholeMillisecondPollContext(IoHandlerContext loopContext) {
        this.loopContext = loopContext;
    }

    /** Whether this wraps the given context. */
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
