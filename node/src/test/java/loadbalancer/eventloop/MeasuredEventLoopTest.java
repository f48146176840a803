package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How the loop waits for its timers. */
class MeasuredEventLoopTest {
    private static final int TIMERS = 200;
    /** Rounded to the nearest millisecond, the last four tenths of it are not waited for. */
    private static final long DELAY_US = 1_400;
    /** A poll that ends at the timer, one that a task may end, and one more. */
    private static final int MOST_TURNS_PER_TIMER = 3;

    private final MeasuredEventLoop loop = new MeasuredEventLoop("test", true);

    @AfterEach
    void end() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void sleepsUntilATimerIsDueInsteadOfPollingOverAndOver() throws Exception {
        CountDownLatch left = new CountDownLatch(TIMERS);
        long before = loop.submit(() -> loop.lagMeter().turnNumber()).get();
        loop.schedule(() -> next(left), DELAY_US, TimeUnit.MICROSECONDS);
        assertTrue(left.await(30, TimeUnit.SECONDS));
        long turns = loop.submit(() -> loop.lagMeter().turnNumber()).get() - before;
        assertTrue(turns <= MOST_TURNS_PER_TIMER * TIMERS, turns + " turns for " + TIMERS + " timers");
    }

    private void next(CountDownLatch left) {
        left.countDown();
        if (left.getCount() > 0) {
            loop.schedule(() -> next(left), DELAY_US, TimeUnit.MICROSECONDS);
        }
    }
}
