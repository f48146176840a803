package loadbalancer.harness.history;

import java.util.Map;

/**
 * One thing that happened, as the checkers read it.
 *
 * @param atUs microseconds since the run began
 * @param process whose doing it was
 * @param kind what it was
 * @param fields the rest, in the order in which it is written down: text, whole numbers, decimals and yes or
 *    no
 */
public record Event(long atUs, String process, Kind kind, Map<String, Object> fields) {

    /** What can happen. Fields stand in {@code docs/rig.md}. */
    public enum Kind {
        /** A run begins; always the first. */
        RUN,
        /** A process began, was told to end, was killed, stands still, goes on. */
        STARTED,
        ENDING,
        KILLED,
        PAUSED,
        RESUMED,
        /**
         * A request reached a node; an attempt left it, and ended; the client has its final answer, or left.
         */
        ASK,
        SEND,
        OUTCOME,
        ANSWER,
        LEFT,
        /** An app server served an attempt; it fell over. */
        SERVED,
        FELL,
        /** A node was told of an app server, or to keep one out. */
        TOLD,
        CORDON,
        UNCORDON,
        /** The rig hurt something, or healed it. */
        FAULT,
        HEALED,
        /** A call to something shared began, and came back. */
        INVOKE,
        RETURN,
        /**
         * A watcher saw a version; a decision used a value; a lease was taken, and given up; views were equal
         * or not.
         */
        WATCHED,
        USED,
        LEASED,
        RELEASED,
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
