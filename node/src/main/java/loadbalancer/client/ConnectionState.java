package loadbalancer.client;

/**
 * The state of a client connection: the request in service, its response, and whether the connection is kept alive
 * afterwards. All transitions are made by methods of this class.
 *
 * <p>Request and response have separate states, as a response may start before its request has arrived in full. The
 * next request starts once both are complete.
 */
final class ConnectionState {
    /** The state of the request in service. */
    private enum RequestState {
        /** No request is in service. */
        NONE,
        /** The first part of the request has been read, the last one has not. */
        RECEIVING,
        /**
         * The request has been read in full, or its rest will not be used: it was rejected or the connection closed.
         */
        RECEIVED
    }

    /** The state of the response to the request in service or, between requests, to the last one. */
    private enum ResponseState {
        /** Nothing has been written yet. */
        PENDING,
        /** The response has started; its end has not been written to the socket. */
        STARTED,
        /** The end of the response has been written to the socket, or its write has failed. */
        WRITTEN
    }

    private RequestState request = RequestState.NONE;
    private ResponseState response = ResponseState.PENDING;
    private boolean keepAlive = true;

    /** Whether a request to be served has arrived in full, which shows that the peer speaks the protocol. */
    private boolean clientValidated;

    private final long connectedAtNanos = System.nanoTime();
    private long lastActivityNanos = connectedAtNanos;

    // ---------------------------------------------------------------- transitions

    /** Records that the head of a request has been read. */
    void requestStarted(boolean keepsAlive) {
        request = RequestState.RECEIVING;
        response = ResponseState.PENDING;
        keepAlive = keepsAlive;
    }

    /** Records that the last part of the request has been read. */
    void requestReceived() {
        request = RequestState.RECEIVED;
    }

    /** Records that the request, or malformed input in its place, is to be rejected without reading the rest. */
    void requestRejected() {
        request = RequestState.RECEIVED;
        response = ResponseState.PENDING;
    }

    /** Records that the head of the response is about to be written. */
    void responseStarted() {
        response = ResponseState.STARTED;
    }

    /** Records that the end of the response has been written to the socket, or that its write has failed. */
    void responseWritten() {
        response = ResponseState.WRITTEN;
    }

    /** Ends the exchange and returns true if the request has been read and the end of its response written. */
    boolean endExchangeIfDone() {
        boolean done = request != RequestState.RECEIVING && response == ResponseState.WRITTEN;
        if (done) {
            request = RequestState.NONE;
        }
        return done;
    }

    /** Records that the connection has closed: nothing more is read or served. */
    void connectionClosed() {
        request = RequestState.RECEIVED;
        keepAlive = false;
    }

    /** Makes the request in service the last one on this connection. */
    void disableKeepAlive() {
        keepAlive = false;
    }

    /** Records that a request to be served has arrived in full. */
    void markClientValidated() {
        clientValidated = true;
    }

    /** Records activity on the connection, which restarts its inactivity timeouts. */
    void touch() {
        lastActivityNanos = System.nanoTime();
    }

    // ---------------------------------------------------------------- queries

    /** Returns whether a request is in service. Also true once the connection has closed. */
    boolean isServing() {
        return request != RequestState.NONE;
    }

    /** Returns whether the end of the request in service has not been read yet. */
    boolean isReceiving() {
        return request == RequestState.RECEIVING;
    }

    /** Returns whether the request in service has been read in full: further input belongs to the next request. */
    boolean isRequestReceived() {
        return request == RequestState.RECEIVED;
    }

    /** Returns whether the response to the request in service has started. */
    boolean isResponseStarted() {
        return response != ResponseState.PENDING;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    boolean isClientValidated() {
        return clientValidated;
    }

    long connectedAtNanos() {
        return connectedAtNanos;
    }

    long lastActivityNanos() {
        return lastActivityNanos;
    }
}
