package loadbalancer.policy;

/** The fields of a load report. */
public enum LoadReportField {
    /** Requests that the server is working on. */
    IN_FLIGHT,
    /** Requests that wait in its queue. */
    QUEUED,
    /** Used share of its capacity. */
    UTILISATION,
    /** Mean latency, in milliseconds. */
    LATENCY_MS,
    /** Requests served per second. */
    SERVED_PER_S,
    /** Errors per second. */
    ERRORS_PER_S,
    /** Any other value. */
    OTHER
}
