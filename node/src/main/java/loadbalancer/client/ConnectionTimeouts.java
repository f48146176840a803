package loadbalancer.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.transfer.TransferLimits;

/**
 * Detects client connections that have been idle or stalled for too long. The caller closes them.
 *
 * <p>The stricter limits for a first request apply until the client has sent a whole request that can be served.
 */
final class ConnectionTimeouts {
    /** Maximum time between requests, after which the socket is freed for other clients. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(120);

    /**
     * Time since the accept after which the head of a first request must have arrived and its other limits apply. The
     * head of a request may take 2 s, and a peer that sends no request must be disconnected within 3 s.
     */
    private static final long FIRST_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

    /** Maximum pause within the first request once {@link #FIRST_REQUEST_NANOS} have passed. */
    private static final long FIRST_REQUEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * Minimum rate of the first request's body once {@link #FIRST_REQUEST_NANOS} have passed: half the rate at which
     * the slowest clients of the platform send.
     */
    private static final double FIRST_REQUEST_MIN_BYTES_PER_NANO = 32e3 / 1e9;

    /** Maximum pause within a later request, during which the client holds a socket and memory. */
    private static final long REQUEST_READ_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Maximum time that a client may stall a streamed response, which holds a server connection as well. */
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
     * Returns whether a timeout of the client has passed: for its next request, for the rest of the current one, or for
     * reading a streamed response.
     *
     * @param responseDue whether the handler of a request has not completed the response yet
     */
    boolean isOverdue(long nowNanos, boolean responseDue) {
        if (response.isStreaming()) {
            return response.isStalledLongerThan(RESPONSE_WRITE_NANOS, nowNanos);
        }
        if (awaitsNode(responseDue)) {
            return false;
        }
        long inactiveNanos = nowNanos - state.lastActivityNanos();
        if (state.isClientValidated()) {
            return inactiveNanos > (state.isReceiving() ? REQUEST_READ_NANOS : IDLE_NANOS);
        }
        return isFirstRequestOverdue(nowNanos - state.connectedAtNanos(), inactiveNanos);
    }

    /** Returns whether the exchange is waiting for the node or the server rather than for the client. */
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
        // The server that reads a streamed body may be what slows it down, so no minimum rate applies to it.
        double dueBytes = FIRST_REQUEST_MIN_BYTES_PER_NANO * (connectedNanos - FIRST_REQUEST_NANOS);
        return !request.isStreaming() && request.receivedBytes() + TransferLimits.MAX_READ_BYTES < dueBytes;
    }
}
