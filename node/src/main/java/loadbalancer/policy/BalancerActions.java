package loadbalancer.policy;

/** What a balancer asks of its node. Calls take effect in order, at the time of the event. */
public interface BalancerActions {
    /**
     * Starts the next attempt of a request (numbered 0, 1, 2 ...), to be given up at {@code untilUs}. After
     * {@code beginByUs} it must not begin, whatever it waits for: a retry that still needs a connection may outlast
     * the window in which the servers recognize it as a duplicate.
     */
    void send(long requestId, String serverId, long beginByUs, long untilUs);

    /** Stops waiting for an attempt; its outcome is still reported. */
    void cancel(long requestId, int attempt);

    /** Final answer: rejected, a retry by the client is harmless; {@code retryAfterUs} 0 gives no advice on when. */
    void reject(long requestId, long retryAfterUs);

    /** Final answer: failed, with no promise about its effect. */
    void fail(long requestId);

    /** Calls {@link Balancer#onWake} at this time or soon after. A later call replaces an earlier one. */
    void wakeAt(long atUs);

    /** Probes a server. */
    void probe(String serverId);

    /** Closes this node's idle connections to a server. */
    void closeIdle(String serverId);

    /** Subscribes to changes of the endpoint list. */
    void subscribe();

    /**
     * A server is ejected: it gets trial requests only.
     *
     * @param failures how many of its last answers failed
     * @param className the class of requests that it is ejected for, or null for all
     */
    void ejected(String serverId, int failures, String className);

    /** A server is no longer ejected, for this class or, where it is null, for all. */
    void restored(String serverId, String className);
}
