package loadbalancer.eventloop;

/** The turns of an event loop. Each one polls the sockets, handles their events and runs the tasks that are due. */
public interface LoopTurns {
    /** Returns the number of the current turn, counted from the start of the loop. */
    long turnNumber();

    /** Returns when the last poll returned, by {@link System#nanoTime}. */
    long polledAtNanos();
}
