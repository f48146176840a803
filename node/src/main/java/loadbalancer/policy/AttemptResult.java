package loadbalancer.policy;

/** How an attempt or a probe ended. */
public enum AttemptResult {
    /** The server served the request. */
    OK(false),
    /** The server responded with an error; the request may have run. */
    ERROR(false),
    /** An overloaded server rejected the request without reading it. */
    FULL(true),
    /** No response in time; the request may have run or may still be running. */
    TIMEOUT(false),
    /** No connection in time, or the request could not be written in full. */
    CONNECT_FAILED(true),
    /** The connection broke; the request may have run. */
    RESET(false),
    /** The node cancelled the attempt; the request may have run. */
    CANCELLED(false),
    /** Never sent: when its turn came, the attempt was no longer needed or no longer allowed. */
    MOOT(true);

    /** Whether it is certain that the request did not run. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
