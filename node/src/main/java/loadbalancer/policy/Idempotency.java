package loadbalancer.policy;

/** Whether a request may run more than once. */
public enum Idempotency {
    /** Any number of times. */
    IDEMPOTENT,
    /** Only on servers that recognize duplicates by a key, and within their deduplication window. */
    IDEMPOTENT_WITH_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
