package loadbalancer.eventloop;

/** The time and the turns of an event loop. Each turn polls the sockets, handles their events and runs due tasks. */
public interface LoopClock {
    /** Returns the time, as {@link System#nanoTime} does. */
    long nanoTime();

    /** Returns the number of the current turn, counted from the start of the loop. */
    long turnNumber();

    /** Returns when the last poll returned, by {@link #nanoTime}. */
    long polledAtNanos();
}
