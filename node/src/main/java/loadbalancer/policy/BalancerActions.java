package loadbalancer.policy;

/** The actions that a balancer requests from its node. Calls take effect in order, at the time of the event. */
public interface BalancerActions {
    /**
     * Starts the next attempt of a request (numbered 0, 1, 2 ...), which times out at {@code endByUs}. The attempt must
     * not start after {@code startByUs}, whatever it waits for: while a retry waits for a connection, the time window
     * in which servers recognize it as a duplicate may end.
     */
    void send(long requestId, String serverId, long startByUs, long endByUs);

    /** Cancels an attempt; its outcome is still reported. */
    void cancel(long requestId, int attempt);

    /**
     * Gives the final response "rejected": the client may safely retry. {@code retryAfterUs} of 0 gives no advice on
     * when to retry.
     */
    void reject(long requestId, long retryAfterUs);

    /** Gives the final response "failed", without a statement whether the request ran. */
    void fail(long requestId);

    /** Calls {@link Balancer#onWake} at this time or soon after. A later call replaces an earlier one. */
    void wakeAt(long atUs);

    /** Sends a probe to a server. */
    void probe(String serverId);

    /** Closes this node's idle connections to a server. */
    void closeIdle(String serverId);

    /**
     * Subscribes to changes of the endpoint list: opens a watch, which replaces an open one. Called for each poll of
     * the list.
     */
    void subscribe();

    /**
     * Reports that a server is ejected: it receives only trial requests, and fallback requests if no other server is
     * found.
     *
     * @param failures number of failures among its last outcomes
     * @param className the class of requests that it is ejected for, or null for all
     */
    void ejected(String serverId, int failures, String className);

    /** Reports that a server is no longer ejected, for this class or, if null, for all. */
    void restored(String serverId, String className);
}
