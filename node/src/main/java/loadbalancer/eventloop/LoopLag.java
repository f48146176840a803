package loadbalancer.eventloop;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandle;
import io.netty.util.IntSupplier;
import java.nio.channels.SelectableChannel;
import java.util.function.LongSupplier;

/**
 * Measures the lag of an event loop: since when what it reads may have been waiting in the sockets.
 *
 * <p>Each turn of the loop polls its sockets, handles what is ready and runs the tasks that are due. What is
 * ready at a poll has come since the poll before. Where the loop was busy for long between the two, by its
 * own work or because its thread did not run, that is how long it may have waited: bytes do not say when they
 * came.
 */
public final class LoopLag implements IoHandler, SelectStrategy {
    /** Shorter lags count as none: they are the rule, and no deadline is that exact. */
    static final long LEAST_LAG_NANOS = 20_000_000;

    /**
     * What a loop did in a while.
     *
     * @param turns how often it polled
     * @param longestHandlingNanos the longest that it handled events in one turn
     * @param longestTasksNanos the longest that it ran tasks in one turn
     */
    public record Activity(long turns, long longestHandlingNanos, long longestTasksNanos) {}

    private final LongSupplier nanoTime;
    private IoHandler handler;
    private WholeMillisecondWaits waits;
    /**
     * When the last poll returned: the time of the first event that was handled, or of the end without one.
     */
    private long polledAtNanos;

    private boolean handledAny;
    /** Whether what is handled in this turn may have been waiting since the poll before it. */
    private boolean behind;

    private long behindSinceNanos;
    private long turn;
    private long turnEndedAtNanos;
    private long reportedTurn;
    private long longestHandlingNanos;
    private long longestTasksNanos;

    LoopLag(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        polledAtNanos = nanoTime.getAsLong();
        turnEndedAtNanos = polledAtNanos;
    }

    /** Sets the handler whose loop is measured; once, before the loop runs. */
    void measure(IoHandler measured) {
        handler = measured;
    }

    /** The number of this turn of the loop. */
    public long turn() {
        return turn;
    }

    /** The earliest time at which what is handled now may have come; now, but where the loop is behind. */
    public long earliestArrivalNanos() {
        long nowNanos = nanoTime.getAsLong();
        long sinceNanos = nowNanos;
        if (behind) {
            sinceNanos = behindSinceNanos;
        } else if (handledAny) {
            sinceNanos = polledAtNanos;
        }
        return nowNanos - sinceNanos < LEAST_LAG_NANOS ? nowNanos : sinceNanos;
    }

    /** What the loop did since this was last asked. */
    public Activity takeActivity() {
        Activity activity = new Activity(turn - reportedTurn, longestHandlingNanos, longestTasksNanos);
        reportedTurn = turn;
        longestHandlingNanos = 0;
        longestTasksNanos = 0;
        return activity;
    }

    // ---------------------------------------------------------------- the loop's turns

    @Override
    public int run(IoHandlerContext context) {
        beginTurn(nanoTime.getAsLong());
        if (waits == null || !waits.wraps(context)) {
            waits = new WholeMillisecondWaits(context);
        }
        int handled = handler.run(waits);
        endTurn(nanoTime.getAsLong());
        return handled;
    }

    private void beginTurn(long nowNanos) {
        turn++;
        longestTasksNanos = Math.max(longestTasksNanos, nowNanos - turnEndedAtNanos);
        behind = nowNanos - polledAtNanos >= LEAST_LAG_NANOS;
        behindSinceNanos = polledAtNanos;
        handledAny = false;
    }

    private void endTurn(long nowNanos) {
        if (!handledAny) {
            polledAtNanos = nowNanos;
        }
        longestHandlingNanos = Math.max(longestHandlingNanos, nowNanos - polledAtNanos);
        turnEndedAtNanos = nowNanos;
        behind = false;
        handledAny = false;
    }

    /** Polls as usual; where the loop is behind, first without waiting, to see what came in the meantime. */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (!behind) {
            return hasTasks ? selectNow.get() : SELECT;
        }
        int ready = selectNow.get();
        behind = ready > 0;
        return behind || hasTasks ? ready : SELECT;
    }

    private void handling() {
        if (!handledAny) {
            handledAny = true;
            polledAtNanos = nanoTime.getAsLong();
        }
    }

    // ---------------------------------------------------------------- the handler that is measured

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(new MeasuredHandle((NioIoHandle) handle));
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }

    /** A channel's handle; tells when the first event of a turn is handled. */
    @SuppressWarnings("try")
    private final class MeasuredHandle implements NioIoHandle {
        private final NioIoHandle handle;

        MeasuredHandle(NioIoHandle handle) {
            this.handle = handle;
        }

        @Override
        public SelectableChannel selectableChannel() {
            return handle.selectableChannel();
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            handling();
            handle.handle(registration, event);
        }

        @Override
        public void registered() {
            handle.registered();
        }

        @Override
        public void unregistered() {
            handle.unregistered();
        }

        @Override
        public void close() throws Exception {
            handle.close();
        }
    }
}
