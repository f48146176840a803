package loadbalancer.policy;

/** The kind of an endpoint list, by the entries that it contains. */
public enum ListKind {
    /** Only the entries that changed. */
    CHANGES,
    /** All entries. */
    FULL,
    /** All entries as this node last received them, possibly outdated. A live node delivers it once, at the start. */
    CACHED
}
