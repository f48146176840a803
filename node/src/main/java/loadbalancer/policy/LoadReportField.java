package loadbalancer.policy;

/** What a server may report of its load. */
public enum LoadReportField {
    /** Requests that it works on. */
    IN_FLIGHT,
    /** Requests that wait in its queue. */
    QUEUED,
    /** Share of its capacity in use. */
    UTILISATION,
    /** Mean latency, in milliseconds. */
    LATENCY_MS,
    /** Requests served each second. */
    SERVED_PER_S,
    /** Errors each second. */
    ERRORS_PER_S,
    /** Any other value. */
    OTHER
}
