package loadbalancer.harness.soak;

/** What a server does with each request. */
enum ServerMode {
    /** Serves it after some work. */
    SERVE,
    /** Rejects it at once; it has not run. */
    REJECT_AT_ONCE,
    /** Rejects it after half a second; it has not run. */
    REJECT_LATE,
    /** Reads it and closes the connection without a response. */
    CLOSE,
    /** Reads nothing until the mode ends, and then closes the connection. */
    READ_NOTHING
}
