package loadbalancer.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the state transitions of a request. */
class RequestStateTest {
    @Test
    void requestIsReceivedAndThenEnds() {
        assertFalse(RequestState.RECEIVING.isReceived() || RequestState.RECEIVING.isEnded());
        assertEquals(RequestState.RECEIVED, RequestState.RECEIVING.received());
        assertEquals(RequestState.ENDED, RequestState.RECEIVED.ended());
        assertTrue(RequestState.ENDED.isReceived() && RequestState.ENDED.isEnded());
    }

    @Test
    void requestThatEndsDuringItsBodyIsNotReceived() {
        assertEquals(RequestState.ENDED_AMID_BODY, RequestState.RECEIVING.ended());
        assertTrue(RequestState.ENDED_AMID_BODY.isEnded());
        assertFalse(RequestState.ENDED_AMID_BODY.isReceived());
    }

    @Test
    void endingTwiceKeepsState() {
        assertEquals(RequestState.ENDED, RequestState.ENDED.ended());
        assertEquals(RequestState.ENDED_AMID_BODY, RequestState.ENDED_AMID_BODY.ended());
    }
}
