package loadbalancer.transfer;

/** The source of a request body: a client, whose time runs from the last byte that it has sent, read or not. */
public interface RequestSource extends FlowControl {
    /**
     * Returns the earliest time at which the client may have written the byte that lies this far behind what has been
     * passed on, by {@link System#nanoTime}: now, unless the source is or was paused and has not been read up to its
     * end since.
     */
    long writtenSinceNanos(long distance);

    /**
     * Runs an action once it is known that the client is there, which may be now; never if the client has left. Only
     * after the end of the body has been passed on.
     */
    void whenClientConfirmed(Runnable action);
}
