package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When bytes that waited in the receive buffer may have arrived. */
class ArrivalEstimatorTest {
    private static final int BUFFER = 1_600;

    private final ArrivalEstimator estimator = new ArrivalEstimator(BUFFER);

    /** Guards against a request whose time runs anew after the node has held back reading it. */
    @Test
    void bytesThatFitTheBufferMayHaveArrivedSinceItWasEmpty() {
        estimator.onEmpty(100);
        assertEquals(100, estimator.onRead(800, 5_000));
        assertEquals(100, estimator.onRead(799, 9_000));
    }

    /** Guards against rejecting requests for time that they cannot have waited: the buffer had no room for them. */
    @Test
    void laterBytesArriveOnceTheBufferHasRoomForThem() {
        estimator.onEmpty(100);
        assertEquals(100, estimator.onRead(1_000, 200));
        assertEquals(100, estimator.onRead(1_000, 300));
        assertEquals(200, estimator.onRead(600, 400));
        assertEquals(300, estimator.onRead(1_000, 500));
    }

    /** Guards against counting the time of a request from a moment at which its last byte had no room yet. */
    @Test
    void unreadBytesAreWrittenOnceTheBuffersHaveRoomForThem() {
        estimator.onEmpty(100);
        estimator.onRead(1_000, 200);
        estimator.onRead(1_000, 300);
        assertEquals(100, estimator.earliestUnreadNanos(1, 400));
        assertEquals(100, estimator.earliestUnreadNanos(BUFFER - 1_001, 400));
        assertEquals(200, estimator.earliestUnreadNanos(BUFFER - 1_000, 400));
        assertEquals(300, estimator.earliestUnreadNanos(BUFFER, 400));
        assertEquals(400, estimator.earliestUnreadNanos(BUFFER + 1, 400));
    }

    @Test
    void emptyBufferStartsAnew() {
        estimator.onEmpty(100);
        estimator.onRead(1_000, 200);
        estimator.onEmpty(300);
        assertEquals(300, estimator.onRead(1, 400));
    }

    /** Guards against memory that grows with the number of small reads. */
    @Test
    void manySmallReadsKeepTheEstimateWithinTheBuffer() {
        estimator.onEmpty(0);
        long estimate = 0;
        for (int read = 1; read <= 100_000; read++) {
            estimate = estimator.onRead(1, read);
        }
        long latest = 100_000 - BUFFER;
        assertEquals(latest, estimate, BUFFER / 16.0);
    }
}
