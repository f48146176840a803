package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How often a turn of the loop polls. Time is moved by the poll. */
class LoopLagMeterTest {
    private static final long DELAY_MS = 40;

    private long nowNanos = 1;
    private long pollMs;
    /** Whether each poll was allowed to wait. */
    private final List<Boolean> polls = new ArrayList<>();

    private final LoopLagMeter meter = new LoopLagMeter(() -> nowNanos);

    /** A poll that takes some time if it may wait, and finds no events. */
    private final class EmptyPoll implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            polls.add(context.canBlock());
            nowNanos += context.canBlock() ? TimeUnit.MILLISECONDS.toNanos(pollMs) : 0;
            return 0;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void wakeup() {
            // Nothing waits.
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return false;
        }
    }

    /** A loop whose next timer is due after a while. */
    private static final class TimerContext implements IoHandlerContext {
        @Override
        public boolean canBlock() {
            return true;
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return TimeUnit.MILLISECONDS.toNanos(DELAY_MS);
        }

        @Override
        public long deadlineNanos() {
            return 0;
        }
    }

    private void runTurn(long lengthMs) {
        pollMs = lengthMs;
        meter.setHandler(new EmptyPoll());
        meter.run(new TimerContext());
    }

    /**
     * Guards against a deadline that passes before what has arrived is read: the process is stopped while the loop
     * polls, the poll ends without events, and the timers that have become due would run at once.
     */
    @Test
    void pollsAgainBeforeTimersIfThePollHasEndedLate() {
        runTurn(DELAY_MS + 150);
        assertEquals(List.of(true, false), polls);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, DELAY_MS, DELAY_MS + 5})
    void pollsOnceIfThePollHasEndedInTime(long lengthMs) {
        runTurn(lengthMs);
        assertEquals(List.of(true), polls);
    }
}
