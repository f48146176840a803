package loadbalancer.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.transfer.TransferLimits;

/** The rules by which a client connection has been waited on for too long. They only judge; the owner closes. */
final class ConnectionTimeouts {
    /** A client that has sent no request for this long makes room for others. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(120);

    /** A peer that sends no request is to be closed within 3 s, while the head of a request may take 2 s. */
    private static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    /** After {@link #FIRST_REQUEST_NANOS} a first request may pause no longer than this. */
    private static final long FIRST_REQUEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * After {@link #FIRST_REQUEST_NANOS} a first request must arrive this fast: half the rate of the slowest client.
     */
    private static final double FIRST_REQUEST_MIN_BYTES_PER_NANO = 32e3 / 1e9;

    /** A client that has begun a request and sends no more of it holds a socket and memory for nothing. */
    private static final long REQUEST_READ_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** A client that takes no more of a response holds a connection to a server, too. */
    private static final long RESPONSE_WRITE_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final ConnectionState state;
    private final RequestAssembler request;
    private final ResponseWriter response;

    ConnectionTimeouts(ConnectionState state, RequestAssembler request, ResponseWriter response) {
        this.state = state;
        this.request = request;
        this.response = response;
    }

    /**
     * Whether the client has let its connection wait for too long: for a request, for the rest of one, or for taking a
     * response.
     *
     * @param responseDue whether a request is open that the node has yet to answer
     */
    boolean isOverdue(long nowNanos, boolean responseDue) {
        if (response.isStreaming()) {
            return response.isStalledLongerThan(RESPONSE_WRITE_NANOS, nowNanos);
        }
        if (awaitsNode(responseDue)) {
            return false;
        }
        long inactiveNanos = nowNanos - state.lastActivityNanos();
        if (state.isClientProven()) {
            return inactiveNanos > (state.isReceiving() ? REQUEST_READ_NANOS : IDLE_NANOS);
        }
        return isFirstRequestOverdue(nowNanos - state.connectedAtNanos(), inactiveNanos);
    }

    /** Whether it is the node or the server that keeps the exchange from going on. */
    private boolean awaitsNode(boolean responseDue) {
        boolean awaitsResponse = responseDue && !request.isStreaming();
        boolean bodyPaused = request.isReadingPaused() && !state.isResponseStarted();
        return awaitsResponse || bodyPaused;
    }

    private boolean isFirstRequestOverdue(long connectedNanos, long inactiveNanos) {
        if (connectedNanos <= FIRST_REQUEST_NANOS) {
            return false;
        }
        return inactiveNanos > FIRST_REQUEST_PAUSE_NANOS || request.head() == null || isTooSlow(connectedNanos);
    }

    private boolean isTooSlow(long connectedNanos) {
        // A streamed body is no slower than the server that takes it.
        double dueBytes = FIRST_REQUEST_MIN_BYTES_PER_NANO * (connectedNanos - FIRST_REQUEST_NANOS);
        return !request.isStreaming() && request.receivedBytes() + TransferLimits.MAX_READ_BYTES < dueBytes;
    }
}
