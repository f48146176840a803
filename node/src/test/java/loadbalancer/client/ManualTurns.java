package loadbalancer.client;

import loadbalancer.eventloop.LoopTurns;

/** Turns of an event loop that a test counts. */
final class ManualTurns implements LoopTurns {
    private long number = 1;
    private long polledAtNanos = System.nanoTime();

    void next() {
        number++;
        polledAtNanos = System.nanoTime();
    }

    @Override
    public long turnNumber() {
        return number;
    }

    @Override
    public long polledAtNanos() {
        return polledAtNanos;
    }
}
