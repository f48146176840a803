package loadbalancer.policy;

/** The servers among which duplicates of a request with an idempotency key are dropped. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell. */
    CELL
}
