package loadbalancer.client;

import java.util.function.LongSupplier;
import loadbalancer.eventloop.LoopLagMeter;

/**
 * The earliest time at which the bytes that a connection reads now may have arrived, by {@link System#nanoTime}. Data
 * that is read no later than one turn of the event loop after the accept may have arrived together with the connection,
 * and so may what is read after it until the socket has been empty. Used on the event loop only.
 */
final class EarliestArrival implements LongSupplier {
    private final LoopLagMeter loop;
    /** The turn of the event loop in which the connection was accepted. */
    private final long acceptedInTurn;

    /** The earliest time at which the client may have opened the connection. */
    private final long openedAtNanos;

    /** Whether what is read may have arrived with the connection, as the socket has not been empty since. */
    private boolean arrivedWithConnection;

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

    /** Records that all that has arrived has been read. */
    void onInputCaughtUp() {
        arrivedWithConnection = false;
    }

    @Override
    public long getAsLong() {
        arrivedWithConnection |= loop.turnNumber() <= acceptedInTurn + 1;
        long arrivedAtNanos = readingBetweenPolls ? loop.earliestArrivalSincePollNanos() : loop.earliestArrivalNanos();
        return arrivedWithConnection ? Math.min(arrivedAtNanos, openedAtNanos) : arrivedAtNanos;
    }
}
