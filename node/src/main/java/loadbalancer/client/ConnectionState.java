package loadbalancer.client;

/**
 * Where a client connection stands: the request that is being served, the response to it, and whether the connection
 * goes on afterwards. Reading, answering and closing share it; all transitions stand here.
 *
 * <p>A request and its response advance apart, as a response may start before its request has arrived in full. The next
 * request begins once both are over.
 */
final class ConnectionState {
    /** How far the request has arrived that is being served. */
    private enum RequestState {
        /** No request is being served. */
        NONE,
        /** Its first part has arrived, its end has not. */
        RECEIVING,
        /** It has arrived in full, or nobody wants the rest. */
        RECEIVED
    }

    /** How far the response is. Between requests it is what the last response has come to. */
    private enum ResponseState {
        /** Nothing is written yet. */
        PENDING,
        /** It has been started; its end may still be to come, or not be written out yet. */
        STARTED,
        /** Its end is written out. */
        WRITTEN
    }

    private RequestState request = RequestState.NONE;
    private ResponseState response = ResponseState.PENDING;
    private boolean keepAlive = true;

    /** Whether a request that could be used has arrived: the peer is a client of the protocol, not just any peer. */
    private boolean clientProven;

    private final long connectedAtNanos = System.nanoTime();
    private long lastActivityNanos = connectedAtNanos;

    // ---------------------------------------------------------------- transitions

    /** The first part of a request is read. */
    void requestStarted(boolean keepsAlive) {
        request = RequestState.RECEIVING;
        response = ResponseState.PENDING;
        keepAlive = keepsAlive;
    }

    /** The last part of the request is read. */
    void requestReceived() {
        request = RequestState.RECEIVED;
    }

    /** The request, or what should have been one, is to be answered without reading on. */
    void requestRejected() {
        request = RequestState.RECEIVED;
        response = ResponseState.PENDING;
    }

    /** The head of the response is about to be written. */
    void responseStarted() {
        response = ResponseState.STARTED;
    }

    /** The end of the response is written out, or could not be written. */
    void responseWritten() {
        response = ResponseState.WRITTEN;
    }

    /** Ends the exchange if its request has arrived and its response is written out; returns whether it is over. */
    boolean endExchangeIfDone() {
        boolean done = request != RequestState.RECEIVING && response == ResponseState.WRITTEN;
        if (done) {
            request = RequestState.NONE;
        }
        return done;
    }

    /** The connection is closed: nothing more is read or served. */
    void connectionClosed() {
        request = RequestState.RECEIVED;
        keepAlive = false;
    }

    /** No further request is served on this connection. */
    void disableKeepAlive() {
        keepAlive = false;
    }

    /** A request that can be used has arrived in full. */
    void proveClient() {
        clientProven = true;
    }

    /** Something has moved on the connection. */
    void touch() {
        lastActivityNanos = System.nanoTime();
    }

    // ---------------------------------------------------------------- queries

    /** Whether a request is being served. */
    boolean isServing() {
        return request != RequestState.NONE;
    }

    /** Whether a request is being served whose end has not arrived. */
    boolean isReceiving() {
        return request == RequestState.RECEIVING;
    }

    /** Whether a request has arrived in full and is not over: what arrives now belongs to the next one. */
    boolean isRequestReceived() {
        return request == RequestState.RECEIVED;
    }

    /** Whether the response to the request has been started. */
    boolean isResponseStarted() {
        return response != ResponseState.PENDING;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    boolean isClientProven() {
        return clientProven;
    }

    long connectedAtNanos() {
        return connectedAtNanos;
    }

    long lastActivityNanos() {
        return lastActivityNanos;
    }
}
