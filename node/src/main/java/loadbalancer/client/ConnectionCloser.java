package loadbalancer.client;

import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Closes a client's connection when the node decides so: to make room, after a timeout, or to shut down. All methods
 * are called on the event loop.
 */
final class ConnectionCloser {
    /** For how long a client that has connected may take to send something before its connection may make room. */
    static final long FIRST_REQUEST_GRACE_MILLIS = 30;

    private final SocketChannel channel;
    private final ConnectionState state;
    private final StrictServerCodec codec;
    private final PipelinedMessages pipelined;
    private final ReadAheadHandler readAhead;
    private final EarliestArrival earliestArrival;
    private final ClientPresence presence;
    private final ConnectionTimeouts timeouts;
    private final LingeringClose lingeringClose;

    ConnectionCloser(
            SocketChannel channel,
            ConnectionState state,
            StrictServerCodec codec,
            PipelinedMessages pipelined,
            ReadAheadHandler readAhead,
            EarliestArrival earliestArrival,
            ClientPresence presence,
            ConnectionTimeouts timeouts) {
        this.channel = channel;
        this.state = state;
        this.codec = codec;
        this.pipelined = pipelined;
        this.readAhead = readAhead;
        this.earliestArrival = earliestArrival;
        this.presence = presence;
        this.timeouts = timeouts;
        lingeringClose = new LingeringClose(channel);
    }

    /**
     * Returns whether the connection is open and has no request, neither in service nor pipelined. A closed connection
     * is not idle: closing it again would free no further socket.
     */
    boolean isIdle() {
        return !state.isServing() && !hasPipelinedInput() && channel.isOpen();
    }

    /** Returns whether requests, or parts of them, wait behind the one in service. */
    boolean hasPipelinedInput() {
        return !pipelined.isEmpty() || !readAhead.isEmpty();
    }

    /** Returns whether the connection is idle and not even a part of a request has arrived. */
    boolean isQuiescent() {
        return isIdle() && !codec.isMessageInProgress();
    }

    /** Returns whether the connection is idle and may be closed to make room for another one. */
    boolean mayMakeRoom() {
        return isIdle() && (state.isClientValidated() || inactiveMillis() >= FIRST_REQUEST_GRACE_MILLIS);
    }

    /** Returns whether one of the timeouts for an inactive or slow client has passed. */
    boolean isOverdue(long nowNanos) {
        return timeouts.isOverdue(nowNanos, presence.isResponseDue());
    }

    /**
     * Returns whether a condition holds, also once everything has been read that has arrived: a request that has not
     * been read has been sent nevertheless, and must not be lost by closing the connection.
     */
    boolean holdsAfterReading(Predicate<ConnectionCloser> condition) {
        if (!condition.test(this)) {
            return false;
        }
        if (channel.config().isAutoRead()) {
            earliestArrival.setReadingBetweenPolls(true);
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
            earliestArrival.setReadingBetweenPolls(false);
        }
        return condition.test(this);
    }

    /** Closes the connection immediately; responses that are still in transit may be lost. */
    void close() {
        channel.close();
    }

    /** Closes the connection gracefully: pipelined requests are dropped, responses in transit still arrive. */
    void shutDown() {
        state.disableKeepAlive();
        lingeringClose.start(() -> {
            pipelined.release();
            readAhead.discardAndResume();
        });
    }

    /** Cancels what is scheduled; to be called when the channel has closed. */
    void onClosed() {
        lingeringClose.cancel();
    }

    /** Returns the address of the client, for the log. */
    String peer() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Returns for how long nothing has happened on the connection, in milliseconds. */
    long inactiveMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - state.lastActivityNanos());
    }

    /** Returns whether the client has sent a whole request. */
    boolean isValidated() {
        return state.isClientValidated();
    }
}
