package loadbalancer.client;

import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.LoopClock;

/**
 * Finds out whether the socket of a channel is empty: reads once, and looks after the next poll whether that was all.
 * Used on the event loop only.
 */
final class SocketProbe {
    /** Receives the results of probes. Nothing is reported of a channel that has closed meanwhile. */
    interface Listener {
        /** Nothing has been read since the probe began. The socket is still polled. */
        void onSocketEmpty();

        /** Something has been read and there may be more, or the socket was not polled. */
        void onSocketNotEmpty();
    }

    private final Listener listener;
    private final LoopClock clock;
    private boolean running;
    /** Whether polling has stopped since the probe began. */
    private boolean interrupted;

    private long reads;

    SocketProbe(Listener listener, LoopClock clock) {
        this.listener = listener;
        this.clock = clock;
    }

    /** Records a read from the socket. */
    void onRead() {
        reads++;
    }

    /** Records that the socket is not polled any more. A probe that is running finds out nothing. */
    void onPollingStopped() {
        interrupted = true;
    }

    /** Returns the number of reads from the socket. */
    long reads() {
        return reads;
    }

    boolean isRunning() {
        return running;
    }

    /** Begins a probe, unless one is running. */
    void start(ChannelHandlerContext context) {
        if (!running) {
            running = true;
            interrupted = false;
            context.read();
            endAfterPoll(context, reads, clock.turnNumber());
        }
    }

    private void endAfterPoll(ChannelHandlerContext context, long readsBefore, long startedInTurn) {
        context.executor()
                .schedule(
                        () -> {
                            // A probe that began while the turn handled I/O events runs its tasks before the next poll.
                            if (clock.turnNumber() == startedInTurn) {
                                endAfterPoll(context, readsBefore, startedInTurn);
                            } else {
                                end(context, readsBefore);
                            }
                        },
                        0,
                        TimeUnit.NANOSECONDS);
    }

    private void end(ChannelHandlerContext context, long readsBefore) {
        running = false;
        if (!context.channel().isActive()) {
            return;
        }
        if (reads == readsBefore && !interrupted) {
            listener.onSocketEmpty();
        } else {
            listener.onSocketNotEmpty();
        }
    }
}
