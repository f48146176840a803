package loadbalancer.policy;

/** The lifecycle of a server in the endpoint list. */
public enum ServerState {
    /** Takes requests. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Removed from the list. */
    GONE
}
