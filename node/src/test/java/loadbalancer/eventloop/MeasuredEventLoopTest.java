package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How the event loop waits for its timers. */
class MeasuredEventLoopTest {
    private static final int TIMERS = 200;
    /** With rounding to the nearest millisecond, a poll would end 0.4 ms before the timer. */
    private static final long DELAY_US = 1_400;
    /** One poll that ends at the timer, one that a task may end, and one in reserve. */
    private static final int MOST_TURNS_PER_TIMER = 3;

    private final MeasuredEventLoop loop = new MeasuredEventLoop("test", true);

    @AfterEach
    void shutDownLoop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void sleepsUntilATimerIsDueInsteadOfPollingRepeatedly() throws Exception {
        CountDownLatch remainingTimers = new CountDownLatch(TIMERS);
        long turnsBefore = loop.submit(() -> loop.lagMeter().turnNumber()).get();
        loop.schedule(() -> runTimer(remainingTimers), DELAY_US, TimeUnit.MICROSECONDS);
        assertTrue(remainingTimers.await(30, TimeUnit.SECONDS));
        long turns = loop.submit(() -> loop.lagMeter().turnNumber()).get() - turnsBefore;
        assertTrue(turns <= MOST_TURNS_PER_TIMER * TIMERS, turns + " turns for " + TIMERS + " timers");
    }

    private void runTimer(CountDownLatch remainingTimers) {
        remainingTimers.countDown();
        if (remainingTimers.getCount() > 0) {
            loop.schedule(() -> runTimer(remainingTimers), DELAY_US, TimeUnit.MICROSECONDS);
        }
    }
}
