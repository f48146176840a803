package loadbalancer.common;

/** Counts each {@link ConnectionEvent} since the start of the process. Not thread-safe: used on the event loop only. */
public final class ConnectionCounters {
    private final long[] counts = new long[ConnectionEvent.values().length];

    /** Counts an event. */
    public void increment(ConnectionEvent event) {
        counts[event.ordinal()]++;
    }

    /** Returns how often the event has been counted. */
    public long count(ConnectionEvent event) {
        return counts[event.ordinal()];
    }
}
