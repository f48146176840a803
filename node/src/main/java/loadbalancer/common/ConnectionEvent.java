package loadbalancer.common;

/** Why the node ended a client's connection by itself, or did not accept one. */
public enum ConnectionEvent {
    /** A connection without a request was closed to make room for a new one. */
    EVICTED("evicted"),
    /** A connection was closed because its client had been idle or slow for too long. */
    TIMED_OUT("timed_out"),
    /** A connection without a request was closed by a graceful shutdown. */
    SHUT_DOWN("shut_down"),
    /** Accepting stopped until there is room: new connections wait in the listen queue. */
    ACCEPT_PAUSED("accept_paused"),
    /** The system could not accept a connection that was waiting. */
    ACCEPT_FAILED("accept_failed");

    private final String label;

    ConnectionEvent(String label) {
        this.label = label;
    }

    /** Returns the name of the event in metrics and in the log. */
    public String label() {
        return label;
    }
}
