package loadbalancer.policy;

/** State of a server in the endpoint list. */
public enum ServerState {
    /** Takes requests. */
    READY,
    /** Finishes its requests and takes no new ones. */
    DRAINING,
    /** Removed from the list. */
    GONE
}
