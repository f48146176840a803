package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import loadbalancer.transfer.TransferLimits;

/**
 * The first handler in the pipeline of a client's connection. It pauses and resumes the input of the handlers behind
 * it, and notices that the client has left while the input is paused.
 *
 * <p>The end of a client's stream is noticed only by reading up to it. If the input stays behind the client for longer
 * than {@link #READ_AHEAD_DELAY_MS}, this handler therefore reads on and holds what it reads, without decoding it, as
 * far as the {@link ReadAheadBudget} allows. Once the handlers behind it have taken all of that, they read from the
 * socket again. For a shorter time the input waits in the socket, so that a client is slowed down to the pace of the
 * server that reads its request.
 *
 * <p>Also tells when the input that is being decoded may have arrived, see {@link ArrivalEstimator}. All methods are
 * called on the event loop. This handler owns the bytes that it holds.
 */
final class ReadAheadHandler extends ChannelInboundHandlerAdapter {
    /** Rarely does a request wait longer for a server. An attempt may begin up to 100 ms after its client has left. */
    private static final long READ_AHEAD_DELAY_MS = 50;

    /** Bytes that have been read ahead. */
    private record Segment(ByteBuf bytes, int accountedBytes, long arrivedAtNanos) {}

    private final ReadAheadBudget budget;
    /** Returns whether input may be read ahead now. */
    private final BooleanSupplier readAheadUseful;

    private final LongSupplier earliestArrivalNanos;
    private final ArrivalEstimator estimator = new ArrivalEstimator(TransferLimits.SOCKET_RECEIVE_BUFFER_BYTES);
    private final EndOfStreamWatch endOfStream = new EndOfStreamWatch();
    private final ArrayDeque<Segment> held = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private boolean paused;
    /** Whether the input is paused until the next turn of the event loop. */
    private boolean yielding;
    /** Whether unread input may wait in the socket. */
    private boolean behind;
    /** Whether the input has been behind for {@link #READ_AHEAD_DELAY_MS}. */
    private boolean readingAhead;

    /** Starts to read ahead, or tries again if the budget was used up; null if not scheduled. */
    private Future<?> timer;

    private boolean releaseScheduled;
    /** The number of reads from the socket, and their number before those of this turn of the event loop. */
    private long reads;

    private long readsBeforeTurn;

    private long heldBytes;
    /** The arrival of the input that is being decoded. */
    private long arrivedAtNanos;

    /**
     * @param readAheadUseful returns whether to read ahead of a paused input: not if its request is being sent, as the
     *     client must be slowed down then
     * @param earliestArrivalNanos the earliest time at which bytes that are read now may have arrived if the input is
     *     not behind
     */
    ReadAheadHandler(ReadAheadBudget budget, BooleanSupplier readAheadUseful, LongSupplier earliestArrivalNanos) {
        this.budget = budget;
        this.readAheadUseful = readAheadUseful;
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

    /** Returns the earliest time at which the input that is being decoded may have arrived. */
    long arrivedAtNanos() {
        return arrivedAtNanos;
    }

    /** Returns the earliest time at which the input that has not been passed on yet may have arrived. */
    long unreadSinceNanos() {
        if (!held.isEmpty()) {
            return held.peek().arrivedAtNanos;
        }
        return behind ? estimator.earliestUnreadNanos() : System.nanoTime();
    }

    /** Returns for how long it has been unknown whether the client has ended its stream; 0 if it has not. */
    long unconfirmedNanos() {
        return endOfStream.unconfirmedNanos(System.nanoTime());
    }

    /** Returns the number of bytes that are held. */
    long heldBytes() {
        return heldBytes;
    }

    // ---------------------------------------------------------------- flow control

    /** Stops the input of the handlers behind this one. The decoder keeps what it has not decoded. */
    void pause() {
        if (paused) {
            // Reading ahead may be useful again.
            readAhead();
            return;
        }
        paused = true;
        stopReadingFromSocket();
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
        endOfStream.onPollingStopped(System.nanoTime());
        if (!behind) {
            behind = true;
            estimator.onEmpty(System.nanoTime());
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
        discard();
        resume();
    }

    private void readFromSocket() {
        context.channel().config().setAutoRead(true);
    }

    // ---------------------------------------------------------------- reading

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        reads++;
        long nowNanos = earliestArrivalNanos.getAsLong();
        endOfStream.onRead(nowNanos);
        long arrival = behind ? Math.min(nowNanos, estimator.onRead(bytes.readableBytes(), nowNanos)) : nowNanos;
        // A read that has not filled its buffer has emptied the socket.
        boolean socketEmptied = bytes.isWritable();
        if (mustHold()) {
            hold(bytes, arrival);
        } else {
            arrivedAtNanos = arrival;
            reading.fireChannelRead(bytes);
        }
        if (socketEmptied) {
            onSocketEmptied();
        }
    }

    private boolean mustHold() {
        return isPaused() || !isEmpty();
    }

    private void onSocketEmptied() {
        if (mustHold()) {
            estimator.onEmpty(System.nanoTime());
        } else {
            behind = false;
            readingAhead = false;
            cancelTimer();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext reading) {
        boolean socketEmptied = reads - readsBeforeTurn < TransferLimits.MAX_READS_PER_TURN
                && context.channel().config().isAutoRead();
        readsBeforeTurn = reads;
        if (socketEmptied) {
            endOfStream.onSocketEmpty();
        }
        if (socketEmptied && !mustHold()) {
            // Also where the last read has just filled its buffer.
            onSocketEmptied();
        }
        reading.fireChannelReadComplete();
        readAhead();
    }

    /**
     * Runs an action that must not be taken if the client has left. If the input has been behind for long, the end of
     * the stream may lie in it: the action then runs once a turn of the event loop has found nothing more to read, or
     * no more may be held.
     */
    void afterReadAhead(Runnable action) {
        boolean mayHideEnd = readingAhead && mustHold() && context.channel().isActive();
        if (!mayHideEnd || !budget.allows(heldBytes, TransferLimits.MAX_READ_BYTES)) {
            action.run();
            return;
        }
        long readsBefore = reads;
        context.read();
        context.executor()
                .schedule(
                        () -> {
                            if (reads == readsBefore) {
                                endOfStream.onSocketEmpty();
                                action.run();
                            } else {
                                afterReadAhead(action);
                            }
                        },
                        0,
                        TimeUnit.NANOSECONDS);
    }

    private void scheduleReadAhead() {
        cancelTimer();
        timer = context.executor().schedule(this::onTimer, READ_AHEAD_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void onTimer() {
        timer = null;
        readingAhead = true;
        readAhead();
    }

    /** Reads on from the socket although the input is paused or held. */
    private void readAhead() {
        if (!readingAhead || !mustHold() || !context.channel().isActive()) {
            return;
        }
        if (!readAheadUseful.getAsBoolean()) {
            return;
        }
        if (budget.allows(heldBytes, TransferLimits.MAX_READ_BYTES)) {
            context.read();
        } else if (timer == null) {
            scheduleReadAhead();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    // ---------------------------------------------------------------- held input

    private void hold(ByteBuf bytes, long arrival) {
        ByteBuf compact = bytes;
        if (bytes.readableBytes() < bytes.capacity() / 2) {
            compact = TransferLimits.ALLOCATOR.buffer(bytes.readableBytes()).writeBytes(bytes);
            bytes.release();
        }
        budget.acquire(compact.capacity());
        heldBytes += compact.capacity();
        held.add(new Segment(compact, compact.capacity(), arrival));
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
            Segment next = removeFirst();
            arrivedAtNanos = next.arrivedAtNanos;
            context.fireChannelRead(next.bytes);
        }
        context.fireChannelReadComplete();
        if (isPaused()) {
            return;
        }
        if (held.isEmpty()) {
            readFromSocket();
        } else {
            scheduleRelease();
        }
    }

    private Segment removeFirst() {
        Segment first = held.poll();
        budget.release(first.accountedBytes);
        heldBytes -= first.accountedBytes;
        return first;
    }

    private void discard() {
        while (!held.isEmpty()) {
            removeFirst().bytes.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        cancelTimer();
        discard();
        closed.fireChannelInactive();
    }
}
