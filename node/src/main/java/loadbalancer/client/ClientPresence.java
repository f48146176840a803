package loadbalancer.client;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether the client of the open request is still there.
 *
 * <p>A half-closed connection is not kept open. {@code ChannelOption.ALLOW_HALF_CLOSURE} is off, so Netty closes the
 * channel when it reads the end of the client's stream, even if the client has shut down only its output and still
 * waits for a response. The end of the stream is noticed only by reading up to it. While the input is paused, because
 * the queue of pipelined requests is full or a streamed body must wait, {@link ReadAheadHandler} does that.
 *
 * <p>All methods are called on the event loop.
 */
public final class ClientPresence {
    /** An attempt that begins later than this after its client has left breaks the platform's rule. */
    private static final long MAX_UNCONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Notified when the client of an open request is gone. */
    public interface CloseListener {
        /**
         * Called at most once, after which no response can be sent any more: the connection has closed before the
         * end of the response was written to the channel, or the rest of the request could not be read and the
         * connection has sent an error response itself.
         */
        void onClientGone();
    }

    private final Channel channel;
    private final ReadAheadHandler readAhead;
    private final ReadAheadBudget budget;

    /** Set by the handler of the open request; null if there is none or its whole response has been passed on. */
    private CloseListener listener;

    ClientPresence(Channel channel, ReadAheadHandler readAhead, ReadAheadBudget budget) {
        this.channel = channel;
        this.readAhead = readAhead;
        this.budget = budget;
    }

    /** Sets the listener that is notified if the client is gone before the response to the open request has ended. */
    public void setCloseListener(CloseListener closeListener) {
        listener = closeListener;
    }

    /** Removes the listener, as the whole response has been passed on; returns it, or null if there is none. */
    CloseListener removeListener() {
        CloseListener removed = listener;
        listener = null;
        return removed;
    }

    /** Returns whether the handler of a request has not completed the response yet. */
    boolean isResponseDue() {
        return listener != null;
    }

    /**
     * Notifies the close listener if the channel is already inactive. Netty reports that in a later task, and until
     * then the client would seem to be connected. The listener is not notified a second time.
     */
    void notifyIfClosed() {
        if (channel.isActive()) {
            return;
        }
        CloseListener closeListener = removeListener();
        if (closeListener != null) {
            closeListener.onClientGone();
        }
    }

    /**
     * Returns whether the client was there a moment ago, or is known to have left, so that an attempt may be decided
     * now. Otherwise its input has to be read first.
     */
    public boolean isConfirmed() {
        return readAhead.isConfirmed();
    }

    /**
     * Runs an action that must not be taken if the client has left, once {@link #isConfirmed}. The close listener is
     * notified before that if the channel is inactive. If more has to be read for that than can be held, pipelined
     * requests are dropped and rejected in their turn.
     */
    public void whenConfirmed(Runnable action) {
        readAhead.whenConfirmed(() -> {
            notifyIfClosed();
            action.run();
        });
    }

    /**
     * Returns whether it has been unknown for too long whether the client has left, as input that has not been read may
     * hide the end of its stream.
     */
    public boolean isUnconfirmed() {
        return channel.isActive() && readAhead.unconfirmedNanos() > MAX_UNCONFIRMED_NANOS;
    }

    /** Returns for how long it has been unknown whether the client has left, in milliseconds. */
    public long unconfirmedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(readAhead.unconfirmedNanos());
    }

    /** Returns the bytes of input that this connection holds undecoded. */
    public long heldBytes() {
        return readAhead.heldBytes();
    }

    /** Returns the bytes of input that all connections together hold undecoded. */
    public long heldByAllBytes() {
        return budget.heldBytes();
    }
}
