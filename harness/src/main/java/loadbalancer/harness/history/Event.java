package loadbalancer.harness.history;

import java.util.Map;

/**
 * One event of a run's history.
 *
 * @param atUs microseconds since the start of the run
 * @param process the process that the event is about, or the harness itself
 * @param fields values by name, in the order in which they are written: strings, integers, decimals and booleans
 */
public record Event(long atUs, String process, Kind kind, Map<String, Object> fields) {

    /** The kinds of events. Histories store these names. The fields of each are listed in {@code docs/harness.md}. */
    public enum Kind {
        /** Start of a run; always the first event. */
        RUN,
        /** A process has started. */
        STARTED,
        /** A process has been asked to shut down. */
        ENDING,
        /** A process has ended. */
        KILLED,
        /** A process has been paused. */
        PAUSED,
        /** A paused process has resumed. */
        RESUMED,
        /** A node has received a request. */
        ASK,
        /** A node has sent an attempt to an app server. */
        SEND,
        /** An attempt has ended. */
        OUTCOME,
        /** A node has sent the final response to a request. */
        ANSWER,
        /** The client of a request has disconnected. */
        LEFT,
        /** An app server has served an attempt. */
        SERVED,
        /** A cold app server has collapsed under overload. */
        FELL,
        /** The endpoint list has notified a node of the state of an app server. */
        TOLD,
        /** A node has cordoned an app server. */
        CORDON,
        /** A node has ended the cordon of an app server. */
        UNCORDON,
        /** The harness has injected a fault. */
        FAULT,
        /** The harness has ended a fault. */
        HEALED,
        /** A call to a shared object, such as a register, has begun. */
        INVOKE,
        /** A call to a shared object has returned. */
        RETURN,
        /** A watcher has received a version. */
        WATCHED,
        /** A decision has used a value. */
        USED,
        /** A process has acquired a lease. */
        LEASED,
        /** A process has released a lease. */
        RELEASED,
        /** A process holds a view with this digest. */
        VIEW
    }

    public String text(String field) {
        return (String) fields.get(field);
    }

    public long number(String field) {
        return ((Number) fields.get(field)).longValue();
    }

    public double decimal(String field) {
        return ((Number) fields.get(field)).doubleValue();
    }

    public boolean isTrue(String field) {
        return Boolean.TRUE.equals(fields.get(field));
    }

    public boolean has(String field) {
        return fields.containsKey(field);
    }
}
