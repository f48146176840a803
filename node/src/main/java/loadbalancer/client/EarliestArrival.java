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

    private boolean readingBetweenPolls;

    /** Creates it in the turn in which the connection is accepted. */
    EarliestArrival(LoopLagMeter loop, long openedAtNanos) {
        this.loop = loop;
        this.openedAtNanos = openedAtNanos;
        acceptedInTurn = loop.turnNumber();
    }

    /** Sets whether the connection is read now although no event has told that there is something to read. */
    void setReadingBetweenPolls(boolean betweenPolls) {
        readingBetweenPolls = betweenPolls;
    }

    @Override
    public long getAsLong() {
        long arrivedAtNanos = readingBetweenPolls ? loop.earliestArrivalSincePollNanos() : loop.earliestArrivalNanos();
        boolean arrivedWithConnection = loop.turnNumber() <= acceptedInTurn + 1;
        return arrivedWithConnection ? Math.min(arrivedAtNanos, openedAtNanos) : arrivedAtNanos;
    }
}
