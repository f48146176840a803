package loadbalancer.client;

import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.LoopClock;

/** The clock of an event loop whose time and turns a test moves. */
final class ManualClock implements LoopClock {
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private long turnNumber = 1;
    private long polledAtNanos = nowNanos;

    /** Begins the next turn of the loop, which polls now. */
    void nextTurn() {
        turnNumber++;
        polledAtNanos = nowNanos;
    }

    void advanceMillis(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    public long nanoTime() {
        return nowNanos;
    }

    @Override
    public long turnNumber() {
        return turnNumber;
    }

    @Override
    public long polledAtNanos() {
        return polledAtNanos;
    }
}
