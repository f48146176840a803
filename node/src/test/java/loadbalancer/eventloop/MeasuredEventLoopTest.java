package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoEvent;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoOps;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Pipe;
import java.nio.channels.SelectableChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.CapturedLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How the event loop waits for its timers, and what it survives. */
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

    private static void fail() {
        throw new IllegalStateException("thrown by the test");
    }

    /** Guards against a defect without a trace: a timer keeps what its task throws to itself. */
    @Test
    void whatATimerThrowsIsLogged() throws Exception {
        String lines = CapturedLog.await(() -> loop.schedule(MeasuredEventLoopTest::fail, 1, TimeUnit.MILLISECONDS)
                .await());
        assertTrue(lines.startsWith("level=error event=timer_error cause="), lines);
    }

    /** Guards against periodic work that ends for good, and without a word, when one of its runs throws. */
    @Test
    void periodicTaskGoesOnAfterARunThatThrows() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        Future<?> timer = loop.repeat(
                () -> {
                    runs.countDown();
                    throw new NoClassDefFoundError("thrown by the test");
                },
                5);
        assertTrue(runs.await(20, TimeUnit.SECONDS), "the task runs again");
        timer.cancel(false);
    }

    /** A handle of a pipe whose reading end can be read; each event throws an error. */
    private static final class FailingHandle implements NioIoHandle {
        private final Pipe.SourceChannel source;
        private final CountDownLatch closed = new CountDownLatch(1);

        FailingHandle(Pipe.SourceChannel source) {
            this.source = source;
        }

        @Override
        public SelectableChannel selectableChannel() {
            return source;
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            throw new NoClassDefFoundError("thrown by the test");
        }

        @Override
        public void registered() {}

        @Override
        public void unregistered() {}

        @Override
        public void close() throws IOException {
            source.close();
            closed.countDown();
        }
    }

    /**
     * Guards against a loop whose thread ends because the handling of one event has thrown an error, as where a class
     * cannot be loaded. The channel of the event is closed and all others go on.
     */
    @Test
    void errorInTheHandlingOfAnEventClosesItsChannelOnly() throws Exception {
        Pipe pipe = Pipe.open();
        pipe.source().configureBlocking(false);
        FailingHandle handle = new FailingHandle(pipe.source());
        loop.submit(() -> loop.register(handle)
                        .addListener(registered -> ((IoRegistration) registered.getNow()).submit(NioIoOps.READ)))
                .sync();
        pipe.sink().write(ByteBuffer.wrap(new byte[1]));
        assertTrue(handle.closed.await(20, TimeUnit.SECONDS), "the channel of the event is closed");
        assertTrue(loop.submit(() -> true).get(20, TimeUnit.SECONDS), "the loop runs tasks");
        pipe.sink().close();
    }
}
