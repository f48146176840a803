package loadbalancer.common;

/**
 * Counts each event of one kind since the start of the process. Not thread-safe: used on the event loop only.
 *
 * @param <E> the kind of the events
 */
public final class EventCounters<E extends Enum<E>> {
    private final long[] counts;

    /** @param events all events of the kind */
    public EventCounters(E[] events) {
        counts = new long[events.length];
    }

    /** Counts an event. */
    public void increment(E event) {
        counts[event.ordinal()]++;
    }

    /** Returns how often the event has been counted. */
    public long count(E event) {
        return counts[event.ordinal()];
    }
}
