package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the state transitions of a client connection, without a socket. */
class ConnectionStateTest {
    private final ConnectionState state = new ConnectionState();

    @Test
    void exchangeEndsOnceResponseIsWritten() {
        assertFalse(state.isServing());
        state.requestStarted(true);
        assertTrue(state.isServing() && state.isReceiving() && !state.isResponseStarted());
        state.requestReceived();
        assertTrue(state.isRequestReceived());
        state.responseStarted();
        assertTrue(state.isResponseStarted());
        assertFalse(state.endExchangeIfDone(), "the response has not been written");
        state.responseWritten();
        assertTrue(state.endExchangeIfDone());
        assertFalse(state.isServing());
        assertTrue(state.isKeepAlive());
    }

    /**
     * Guards against parsing the rest of a request body as the next request. A response is complete while the body of
     * its request is still arriving; the exchange must not end before that body has been read.
     */
    @Test
    void exchangeWithEarlyResponseEndsWithRequestBody() {
        state.requestStarted(true);
        state.responseStarted();
        state.responseWritten();
        assertFalse(state.endExchangeIfDone(), "the body is still arriving");
        state.requestReceived();
        assertTrue(state.endExchangeIfDone());
    }

    @Test
    void newRequestResetsResponseState() {
        state.requestStarted(true);
        state.requestReceived();
        state.responseStarted();
        state.responseWritten();
        assertTrue(state.endExchangeIfDone());
        state.requestStarted(false);
        assertFalse(state.isResponseStarted());
        assertFalse(state.isKeepAlive());
    }

    @Test
    void closedConnectionIsNotIdle() {
        state.connectionClosed();
        assertTrue(state.isServing());
        assertFalse(state.isReceiving());
        assertFalse(state.isKeepAlive());
    }
}
