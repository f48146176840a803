package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The time for which it is unknown whether a client has left. */
class EndOfStreamWatchTest {
    private final EndOfStreamWatch watch = new EndOfStreamWatch();

    /** Guards against waiting for a client that is known to be there. */
    @Test
    void clientWhoseSocketIsEmptyWasThereAtTheLastPoll() {
        assertEquals(100, watch.unconfirmedNanos(1_000, 900));
        watch.onRead(2_000);
        watch.onSocketEmpty();
        assertEquals(0, watch.unconfirmedNanos(9_000, 9_000));
    }

    /** Guards against taking a read for a sign that the client is still there: its end may lie behind the bytes. */
    @Test
    void timeRunsFromTheFirstBytesThatMayHideTheEnd() {
        watch.onRead(2_000);
        watch.onRead(5_000);
        watch.onPollingStopped(6_000);
        assertEquals(7_000, watch.unconfirmedNanos(9_000, 8_000));
    }

    /** Guards against counting from the last read, which may be long ago, where the socket was polled until now. */
    @Test
    void timeRunsFromTheEndOfPolling() {
        watch.onRead(2_000);
        watch.onSocketEmpty();
        watch.onPollingStopped(6_000);
        assertEquals(3_000, watch.unconfirmedNanos(9_000, 8_000));
    }
}
