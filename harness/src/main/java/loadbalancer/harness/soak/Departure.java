package loadbalancer.harness.soak;

/** How a client ends its connection. */
enum Departure {
    /** Closes it; what has been written still arrives, and the end of the stream behind it. */
    CLOSE,
    /** Shuts down its output and never reads. */
    HALF_CLOSE,
    /** Resets it: unread bytes are dropped. */
    RESET,
    /** Stays and reads all responses. */
    STAY
}
