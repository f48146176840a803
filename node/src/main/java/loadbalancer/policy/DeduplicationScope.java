package loadbalancer.policy;

/** The servers that recognize duplicates of each other's requests with an idempotency key. */
public enum DeduplicationScope {
    /** All servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one cell. */
    CELL
}
