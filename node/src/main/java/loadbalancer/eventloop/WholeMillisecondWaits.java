package loadbalancer.eventloop;

import io.netty.channel.IoHandlerContext;

/**
 * Tells a loop's poll to wait until the next timer is due, in whole milliseconds, rounded up.
 *
 * <p>A poll waits for whole milliseconds. Netty rounds what is left to a timer to the nearest one, so that it
 * does not wait at all for the last half millisecond: it polls over and over until the timer is due. Each
 * timer then costs hundreds of system calls, and a processor that is short or shared loses its time to them.
 * Rounded up, a timer is up to one millisecond late and the loop sleeps.
 */
final class WholeMillisecondWaits implements IoHandlerContext {
    private static final long MILLISECOND_NANOS = 1_000_000;
    /** Longer delays stand for "no timer" and must not overflow. */
    private static final long LONGEST_NANOS = Long.MAX_VALUE / 2;

    private final IoHandlerContext loop;

    WholeMillisecondWaits(IoHandlerContext loop) {
        this.loop = loop;
    }

    /** Whether this wraps the given context. */
    boolean wraps(IoHandlerContext context) {
        return loop == context;
    }

    @Override
    public boolean canBlock() {
        return loop.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
        long delayNanos = loop.delayNanos(currentTimeNanos);
        if (delayNanos <= 0 || delayNanos > LONGEST_NANOS) {
            return delayNanos;
        }
        return (delayNanos + MILLISECOND_NANOS - 1) / MILLISECOND_NANOS * MILLISECOND_NANOS;
    }

    @Override
    public long deadlineNanos() {
        return loop.deadlineNanos();
    }
}
