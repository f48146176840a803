package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.eventloop.LoopClock;
import loadbalancer.transfer.TransferLimits;

/**
 * The first handler in the pipeline of a client's connection. It pauses and resumes the input of the handlers behind
 * it, and notices that the client has left while the input is paused.
 *
 * <p>The end of a client's stream is noticed only by reading up to it. If the input stays behind the client for longer
 * than {@link #MAX_UNCONFIRMED_NANOS}, this handler therefore reads on and holds what it reads undecoded, as far as the
 * {@link ReadAheadBudget} allows. For a shorter time the input waits in the socket, so that a client is slowed down to
 * the pace of the server that reads its request.
 *
 * <p>An action that must not be taken if the client has left waits until it is known that the client is there, see
 * {@link #whenConfirmed}. If what must be read for that cannot be held, the {@link InputListener} takes the input
 * without keeping it.
 *
 * <p>Also tells when the input that is being decoded may have arrived. All methods are called on the event loop.
 */
final class ReadAheadHandler extends ChannelInboundHandlerAdapter implements SocketProbe.Listener {
    /**
     * For how long it may be unknown whether the client has left before an action waits for it. An attempt may begin
     * up to 100 ms after its client has left, and rarely does a request wait for a server for longer than this.
     */
    private static final long MAX_UNCONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long ago the poll may be that has found the client there: the rest of a long turn counts as well. */
    private static final long MAX_SINCE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final InputListener listener;
    private final LoopClock clock;
    private final LongSupplier earliestArrivalNanos;
    private final ArrivalEstimator estimator = ArrivalEstimator.ofClientInput();
    private final EndOfStreamWatch endOfStream = new EndOfStreamWatch();
    private final SocketProbe probe;
    private final HeldInput held;
    /** Actions that wait until it is known whether the client has left, in order. */
    private final DeferredActions unconfirmedActions = new DeferredActions();

    private ChannelHandlerContext context;
    private boolean paused;
    /** Whether the input is paused until the next turn of the event loop. */
    private boolean yielding;
    /** Whether unread input may wait in the socket. */
    private boolean behind;
    /** Whether the input has been behind for so long that it is read ahead. */
    private boolean readingAhead;

    /** Starts to read ahead, or tries again if the budget was used up; null if not scheduled. */
    private Future<?> timer;

    private boolean releaseScheduled;
    private long readsBeforeTurn;
    private long arrivedAtNanos;

    /**
     * @param earliestArrivalNanos the earliest time at which bytes that are read now may have arrived if the input is
     *     not behind
     */
    ReadAheadHandler(
            ReadAheadBudget budget, InputListener listener, LoopClock clock, LongSupplier earliestArrivalNanos) {
        held = new HeldInput(budget);
        probe = new SocketProbe(this, clock);
        this.clock = clock;
        this.listener = listener;
        this.earliestArrivalNanos = earliestArrivalNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Returns whether no input is held, here or by a decoder that has been paused and has not run since. */
    boolean isEmpty() {
        return held.isEmpty() && !releaseScheduled;
    }

    /** Returns whether the input of the handlers behind this one is paused, for now or for the rest of the turn. */
    boolean isPaused() {
        return paused || yielding;
    }

    private boolean mustHold() {
        return isPaused() || !isEmpty();
    }

    /** Returns the earliest time at which the input that is being decoded may have arrived. */
    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /** See {@link loadbalancer.transfer.RequestSource#writtenSinceNanos}. */
    long writtenSinceNanos(long distance) {
        long nowNanos = clock.nanoTime();
        if (distance <= held.readableBytes()) {
            return held.arrivedAtNanos(distance);
        }
        return behind ? estimator.earliestUnreadNanos(distance - held.readableBytes(), nowNanos) : nowNanos;
    }

    /** Returns the number of bytes that are held. */
    long heldBytes() {
        return held.bytes();
    }

    // ---------------------------------------------------------------- whether the client is there

    /** Returns for how long it has been unknown whether the client has ended its stream. */
    long unconfirmedNanos() {
        return endOfStream.unconfirmedNanos(clock.nanoTime(), clock.polledAtNanos());
    }

    /**
     * Returns whether the client was there a moment ago, or is known to have left: whether an action that depends on it
     * may be decided now. A body that is too large to be held, or is being sent to a server at its pace, can only be
     * read on: the client counts as there, and the end of the body is held back until it is confirmed.
     */
    boolean isConfirmed() {
        return !context.channel().isActive()
                || unconfirmedNanos() <= MAX_UNCONFIRMED_NANOS
                || !listener.isReadAheadUseful()
                || listener.isBodyWaiting() && !held.hasRoom();
    }

    /**
     * Runs an action once {@link #isConfirmed}, which may be now. For that, input is read until a poll of the socket
     * finds nothing more.
     */
    void whenConfirmed(Runnable action) {
        if (isConfirmed()) {
            action.run();
        } else {
            unconfirmedActions.add(action);
            probe();
        }
    }

    private void probe() {
        if (probe.isRunning() || !context.channel().isActive()) {
            return;
        }
        if (mustHold() && !held.hasRoom()) {
            onNoRoom();
        } else {
            probe.start(context);
        }
    }

    @Override
    public void onSocketNotEmpty() {
        if (behind && isProbeUseful()) {
            probe();
        }
        unconfirmedActions.drainTo(this::whenConfirmed);
    }

    /** Whether more is to be read: for an action that waits, to read ahead, or to see when reading has caught up. */
    private boolean isProbeUseful() {
        return !unconfirmedActions.isEmpty() || !mustHold() || readingAhead && listener.isReadAheadUseful();
    }

    /** No more may be held. Nothing is to do while the held input is being released, which reads on after that. */
    private void onNoRoom() {
        if (unconfirmedActions.isEmpty()) {
            scheduleReadAhead();
        } else if (isConfirmed()) {
            unconfirmedActions.drainTo(this::whenConfirmed);
        } else if (paused) {
            listener.onInputOverflow();
        }
    }

    @Override
    public void onSocketEmpty() {
        onInputCaughtUp();
        boolean pollIsRecent = unconfirmedNanos() <= MAX_SINCE_POLL_NANOS;
        unconfirmedActions.drainTo(pollIsRecent ? Runnable::run : this::whenConfirmed);
    }

    private void onInputCaughtUp() {
        endOfStream.onSocketEmpty();
        if (mustHold()) {
            estimator.onEmpty(clock.nanoTime());
        } else {
            behind = false;
            readingAhead = false;
            cancelTimer();
            listener.onInputCaughtUp();
        }
    }

    // ---------------------------------------------------------------- flow control

    /** Stops the input of the handlers behind this one, and reads ahead if that has become useful. */
    void pause() {
        if (!paused) {
            paused = true;
            stopReadingFromSocket();
        }
        readAhead();
    }

    /** Pauses until the next turn of the event loop, in which other connections get their turn first. */
    void yieldTurn() {
        if (!yielding) {
            yielding = true;
            stopReadingFromSocket();
            scheduleRelease();
        }
    }

    private void stopReadingFromSocket() {
        context.channel().config().setAutoRead(false);
        endOfStream.onPollingStopped(clock.nanoTime());
        probe.onPollingStopped();
        if (!behind) {
            behind = true;
            estimator.onEmpty(clock.nanoTime());
            scheduleReadAhead();
        }
    }

    /**
     * Resumes the input: first what the decoder has kept, then what is held, in turns of the event loop, and then what
     * is read from the socket.
     */
    void resume() {
        if (paused) {
            paused = false;
            scheduleRelease();
        }
    }

    /** Drops the held input and resumes. */
    void discardAndResume() {
        held.discard();
        resume();
    }

    // ---------------------------------------------------------------- reading

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        probe.onRead();
        long nowNanos = earliestArrivalNanos.getAsLong();
        endOfStream.onRead(nowNanos);
        long arrival = behind ? Math.min(nowNanos, estimator.onRead(bytes.readableBytes(), nowNanos)) : nowNanos;
        // A read that has not filled its buffer has emptied the socket, but the end may follow right behind.
        boolean emptied = bytes.isWritable();
        if (mustHold()) {
            held.add(bytes, arrival);
        } else {
            arrivedAtNanos = arrival;
            reading.fireChannelRead(bytes);
        }
        if (emptied && mustHold()) {
            estimator.onEmpty(clock.nanoTime());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext reading) {
        // The last read of the turn has found nothing. If it has found the end, the channel closes right away.
        boolean emptied = probe.reads() - readsBeforeTurn < TransferLimits.MAX_READS_PER_TURN
                && context.channel().config().isAutoRead();
        readsBeforeTurn = probe.reads();
        if (emptied) {
            onInputCaughtUp();
        }
        reading.fireChannelReadComplete();
        readAhead();
    }

    private void scheduleReadAhead() {
        cancelTimer();
        timer = context.executor().schedule(this::onTimer, MAX_UNCONFIRMED_NANOS, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        timer = null;
        readingAhead = true;
        readAhead();
    }

    /** Reads on from the socket although the input is paused or held. */
    private void readAhead() {
        if (readingAhead && mustHold() && listener.isReadAheadUseful()) {
            probe();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    /** Releases in the next turn of the event loop, so that one connection does not keep others from being read. */
    private void scheduleRelease() {
        if (!releaseScheduled) {
            releaseScheduled = true;
            context.executor().schedule(this::release, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Passes on one turn's worth of the held input, behind what the decoder has kept. */
    private void release() {
        releaseScheduled = false;
        yielding = false;
        if (!paused) {
            context.fireChannelRead(Unpooled.EMPTY_BUFFER);
        }
        for (int i = 0; i < TransferLimits.MAX_READS_PER_TURN && !isPaused() && !held.isEmpty(); i++) {
            HeldInput.Segment next = held.poll();
            arrivedAtNanos = next.arrivedAtNanos();
            context.fireChannelRead(next.bytes());
        }
        context.fireChannelReadComplete();
        if (isPaused()) {
            return;
        }
        if (!held.isEmpty()) {
            scheduleRelease();
            return;
        }
        context.channel().config().setAutoRead(true);
        if (behind) {
            probe();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        cancelTimer();
        held.discard();
        closed.fireChannelInactive();
        unconfirmedActions.drainTo(this::whenConfirmed);
    }
}
