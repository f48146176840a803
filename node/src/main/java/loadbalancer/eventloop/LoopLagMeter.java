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
 * Measures the lag of an event loop: how long the bytes that it reads may have waited in the sockets.
 *
 * <p>Each turn of the loop polls the sockets, handles the events that are ready and runs the tasks that are due. An
 * event that is ready at a poll became ready after the poll before. If the loop stalled between the two polls, because
 * its tasks took long or because its thread did not run, the event may have waited all that time.
 *
 * <p>A request's remaining time counts from its arrival, but bytes do not carry an arrival time. If it counted from the
 * time at which the loop reads the request, a request that waited through a stall would be sent to a server after its
 * client has given up. The meter therefore gives the earliest possible arrival. A request whose deadline has passed by
 * this estimate is rejected instead of being sent to a server. If the estimate is too early, a request that could still
 * be served in time is rejected; in return, no server works for a client that has given up.
 *
 * <p>The meter wraps the loop's I/O handler and is its select strategy. All methods run on the loop's thread, except
 * {@link #wakeup} and {@link #isCompatible}, which any thread may call.
 */
public final class LoopLagMeter implements IoHandler, SelectStrategy, LoopClock {
    /** A shorter lag counts as none, because short lags are normal and no deadline is that exact. */
    static final long MIN_LAG_NANOS = 20_000_000;

    /**
     * The activity of a loop over a period, which shows the cause of a stall. Few turns and short times mean that the
     * thread did not run. A long time shows which part of a turn took it.
     *
     * @param turns the number of turns
     * @param longestHandlingNanos the longest time that one turn spent on handling I/O events
     * @param longestTasksNanos the longest time that one turn spent on running tasks
     */
    public record LoopActivity(long turns, long longestHandlingNanos, long longestTasksNanos) {}

    private final LongSupplier nanoTime;
    private final LoopFailures failures = new LoopFailures();
    private IoHandler handler;
    private WholeMillisecondPollContext pollContext;
    /**
     * When the last poll returned, taken as the time at which its first event was handled. If there was no event, the
     * time at which the I/O handler returned.
     */
    private long polledAtNanos;

    private boolean handledEventInTurn;
    /** Whether the events of this turn may have waited since the poll before. */
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

    /** Sets the I/O handler to wrap. Must be called once, before the loop runs. */
    void setHandler(IoHandler wrapped) {
        handler = wrapped;
    }

    @Override
    public long nanoTime() {
        return nanoTime.getAsLong();
    }

    @Override
    public long turnNumber() {
        return turnNumber;
    }

    @Override
    public long polledAtNanos() {
        return polledAtNanos;
    }

    /**
     * Returns the earliest time at which the bytes that are handled now may have arrived, as a value of {@link
     * System#nanoTime}. That is now, unless they may have waited for at least {@link #MIN_LAG_NANOS}.
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

    /**
     * Returns the same for bytes that are read although no event has told of them: they may have arrived at any time
     * since the last poll.
     */
    public long earliestArrivalSincePollNanos() {
        long nowNanos = nanoTime.getAsLong();
        long sinceNanos = nowNanos - polledAtNanos < MIN_LAG_NANOS ? nowNanos : polledAtNanos;
        return Math.min(sinceNanos, earliestArrivalNanos());
    }

    /** Returns the activity since the previous call, and starts a new period. */
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
        long delayNanos = pollContext.delayNanos(nanoTime.getAsLong());
        long startedAtNanos = nanoTime.getAsLong();
        int handled = runTurn(pollContext);
        if (!handledEventInTurn && nanoTime.getAsLong() - startedAtNanos - delayNanos >= MIN_LAG_NANOS) {
            // The poll has ended long after the next timer was due, and without events: what has arrived by now is
            // handled before the timer, which may be a deadline.
            lagging = true;
            handled = runTurn(new NonBlockingContext(pollContext));
        }
        endTurn(nanoTime.getAsLong());
        return handled;
    }

    private int runTurn(IoHandlerContext context) {
        try {
            int handled = handler.run(context);
            failures.onTurnCompleted();
            return handled;
        } catch (RuntimeException | Error e) {
            failures.onTurnFailed(e);
            return 0;
        }
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
     * Polls as Netty's default strategy does, but after a stall first polls without waiting. If nothing is ready then,
     * nothing arrived during the stall, and the events of the next poll have not waited.
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

    /** Wraps the handle of a channel and records when the first event of a turn is handled. */
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
            try {
                handle.handle(registration, event);
            } catch (RuntimeException | Error e) {
                failures.onEventFailed(handle, e);
            }
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
