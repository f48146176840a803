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
 * Measures the lag of an event loop: how long the bytes that it reads may have been waiting in the sockets.
 *
 * <p>Each turn of the loop polls its sockets, handles the events that are ready and runs the tasks that are due. An
 * event that is ready at a poll has come since the poll before. If the loop stalled between the two polls, by its own
 * work or because its thread did not run, the event may have waited for as long as that.
 *
 * <p>Guards against requests that are served past their deadline: a request's remaining time counts from when it
 * arrived, and bytes do not say when that was. Counted from when the loop read it, a request that waited through a
 * stall would be sent to a server after its client had given up. The earliest time at which it may have arrived errs
 * on the safe side.
 *
 * <p>Wraps the loop's I/O handler and is its strategy for polls. Used on the loop's thread only.
 */
public final class LoopLagMeter implements IoHandler, SelectStrategy {
    /** A shorter lag counts as none: short ones are the rule, and no deadline is that exact. */
    static final long MIN_LAG_NANOS = 20_000_000;

    /**
     * What a loop did over a period, to tell the cause of a stall: few turns and short times mean that its thread did
     * not run; a long time names the part of a turn that took it.
     *
     * @param turns how often it polled
     * @param longestHandlingNanos the longest time that it handled I/O events in one turn
     * @param longestTasksNanos the longest time that it ran tasks in one turn
     */
    public record LoopActivity(long turns, long longestHandlingNanos, long longestTasksNanos) {}

    private final LongSupplier nanoTime;
    private IoHandler handler;
    private WholeMillisecondPollContext pollContext;
    /**
     * When the last poll returned: the time of the first event that was handled, or of the turn's end if there was
     * none.
     */
    private long polledAtNanos;

    private boolean handledEventInTurn;
    /** Whether the events of this turn may have been waiting since the poll before it. */
    private boolean lagging;

    private long laggingSinceNanos;
    private long turnNumber;
    private long turnEndedAtNanos;
    private long reportedTurnNumber;
    private long longestHandlingNanos;
    private long longestTasksNanos;

    LoopLagMeter(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        polledAtNanos = nanoTime.getAsLong();
        turnEndedAtNanos = polledAtNanos;
    }

    /** Sets the I/O handler that is wrapped; once, before the loop runs. */
    void measure(IoHandler measured) {
        handler = measured;
    }

    /** The number of the loop's current turn, counted from its start. */
    public long turnNumber() {
        return turnNumber;
    }

    /**
     * The earliest time at which the event that is handled now may have arrived, as a reading of {@link
     * System#nanoTime}: now, unless the loop lags.
     */
    public long earliestArrivalNanos() {
        long nowNanos = nanoTime.getAsLong();
        long sinceNanos = nowNanos;
        if (lagging) {
            sinceNanos = laggingSinceNanos;
        } else if (handledEventInTurn) {
            sinceNanos = polledAtNanos;
        }
        return nowNanos - sinceNanos < MIN_LAG_NANOS ? nowNanos : sinceNanos;
    }

    /** What the loop did since the last call of this. */
    public LoopActivity takeLoopActivity() {
        LoopActivity activity =
                new LoopActivity(turnNumber - reportedTurnNumber, longestHandlingNanos, longestTasksNanos);
        reportedTurnNumber = turnNumber;
        longestHandlingNanos = 0;
        longestTasksNanos = 0;
        return activity;
    }

    @Override
    public int run(IoHandlerContext context) {
        beginTurn(nanoTime.getAsLong());
        if (pollContext == null || !pollContext.wraps(context)) {
            pollContext = new WholeMillisecondPollContext(context);
        }
        int handled = handler.run(pollContext);
        endTurn(nanoTime.getAsLong());
        return handled;
    }

    private void beginTurn(long nowNanos) {
        turnNumber++;
        longestTasksNanos = Math.max(longestTasksNanos, nowNanos - turnEndedAtNanos);
        lagging = nowNanos - polledAtNanos >= MIN_LAG_NANOS;
        laggingSinceNanos = polledAtNanos;
        handledEventInTurn = false;
    }

    private void endTurn(long nowNanos) {
        if (!handledEventInTurn) {
            polledAtNanos = nowNanos;
        }
        longestHandlingNanos = Math.max(longestHandlingNanos, nowNanos - polledAtNanos);
        turnEndedAtNanos = nowNanos;
        lagging = false;
        handledEventInTurn = false;
    }

    /**
     * Polls as usual; a loop that lags first polls without waiting. If nothing is ready then, nothing came during the
     * stall, and events of the poll that follows have not waited.
     */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (!lagging) {
            return hasTasks ? selectNow.get() : SELECT;
        }
        int ready = selectNow.get();
        lagging = ready > 0;
        return lagging || hasTasks ? ready : SELECT;
    }

    private void onEventHandled() {
        if (!handledEventInTurn) {
            handledEventInTurn = true;
            polledAtNanos = nanoTime.getAsLong();
        }
    }

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

    /** The handle of a channel; notes when the first event of a turn is handled. */
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
            onEventHandled();
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
