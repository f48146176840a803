package loadbalancer.policy;

/** What an endpoint list event holds. */
public enum ListKind {
    /** Only the entries that changed. */
    CHANGES,
    /** All entries. */
    FULL,
    /** All entries as the node last had them, perhaps outdated; given once, at the start. */
    CACHED
}
