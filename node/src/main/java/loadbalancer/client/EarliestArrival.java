package loadbalancer.client;

import java.util.function.LongSupplier;
import loadbalancer.eventloop.LoopLagMeter;

/**
 * The earliest time at which the bytes that a connection reads now may have arrived, by {@link System#nanoTime}. Data
 * that is read no later than one turn of the event loop after the accept may have arrived together with the connection.
 * Used on the event loop only.
 */
final class EarliestArrival implements LongSupplier {
    private final LoopLagMeter loop;
    /** The turn of the event loop in which the connection was accepted. */
    private final long acceptedInTurn;

    /** The earliest time at which the client may have opened the connection. */
    private final long openedAtNanos;

    /** Creates it in the turn in which the connection is accepted. */
    EarliestArrival(LoopLagMeter loop) {
        this.loop = loop;
        acceptedInTurn = loop.turnNumber();
        openedAtNanos = loop.earliestArrivalNanos();
    }

    @Override
    public long getAsLong() {
        long arrivedAtNanos = loop.earliestArrivalNanos();
        boolean arrivedWithConnection = loop.turnNumber() <= acceptedInTurn + 1;
        return arrivedWithConnection ? Math.min(arrivedAtNanos, openedAtNanos) : arrivedAtNanos;
    }
}
