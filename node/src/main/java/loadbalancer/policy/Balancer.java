package loadbalancer.policy;

import java.util.List;
import java.util.Set;

/**
 * Makes all routing decisions of one node. The node reports events (endpoint lists, requests, outcomes, timers); the
 * balancer decides through {@link BalancerActions}.
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; durations are also in microseconds. An
 * instance is single-threaded, never blocks, and calls its {@link BalancerActions} only from within an event method.
 * The same events and seed give the same actions.
 */
public interface Balancer {

    /**
     * Delivers an endpoint list. Servers that are missing from a {@link ListKind#FULL} or {@link ListKind#CACHED} list
     * have been removed.
     */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** A request for the endpoint list failed or the watch broke; the last list remains in force. */
    void onListFailed(long nowUs);

    /**
     * A client's request arrived. It gets exactly one final response, from a server or by the balancer, unless it is
     * withdrawn first (see {@link #onClientGone}).
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or its id is in use
     */
    void onRequest(long nowUs, BalancerRequest request);

    /** An attempt ended. Unknown attempts are ignored. */
    void onOutcome(long nowUs, AttemptOutcome outcome);

    /**
     * Binds a request to this attempt: part of its response has been sent to the client, or its body has been passed on
     * in part and can no longer be replayed to another server. Ignored if the request is unknown or already bound, or
     * if the attempt is not in flight. No further attempt is made, and the balancer applies no deadline to the request
     * from here on.
     */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /**
     * The response to this attempt has begun to arrive, although nothing of it has been sent to the client. The attempt
     * is not unresponsive, and its request is not bound to it. Ignored if the attempt is not in flight.
     */
    default void onResponseProgress(long nowUs, long requestId, int attempt) {
        // Only a balancer that watches for unresponsive attempts uses it.
    }

    /**
     * Withdraws a request: its client has left, or the node has sent the final response itself, after a failure of the
     * balancer or at the shutdown deadline. The balancer gives no final response and makes no further attempt. Unknown
     * ids are ignored.
     */
    void onClientGone(long nowUs, long requestId);

    /** A probe ended; {@code report} as in {@link AttemptOutcome}. */
    default void onProbe(long nowUs, String serverId, AttemptResult result, long latencyUs, LoadReport report) {
        // Only a balancer that sends probes uses their results.
    }

    /** The timer set by {@link BalancerActions#wakeAt} fired. */
    void onWake(long nowUs);

    /**
     * Applies new settings. Open requests keep the rules of their class. Existing classes and tenants keep their
     * indexes and new ones are appended; zones and load report fields do not change.
     *
     * @throws IllegalArgumentException if a setting is out of range; no setting changes in that case
     */
    void onSettings(long nowUs, BalancerSettings settings);

    /** Delivers the complete set of servers that operators have cordoned, independent of the endpoint list. */
    void onCordoned(long nowUs, Set<String> serverIds);

    /** Number of listed servers that are cordoned, plus number of servers ejected for all classes or for one. */
    int excludedServers();
}
