package loadbalancer.policy;

import java.util.List;
import java.util.Set;

/**
 * Makes every routing decision of one node. The node reports events (endpoint lists, requests, outcomes, timers); the
 * balancer answers through {@link BalancerActions}.
 *
 * <p>Times are microseconds of the caller's clock, which never goes backwards; durations are microseconds too. An
 * instance is single-threaded, never blocks, and calls its {@link BalancerActions} only from within an event method.
 * The same events and seed give the same actions.
 */
public interface Balancer {

    /** The endpoint list as it stands; servers that a {@link ListKind#FULL} list lacks have been removed. */
    void onServers(long nowUs, ListKind kind, List<ServerEntry> entries);

    /** A list call failed or the watch broke; the last list stays in force. */
    void onListFailed(long nowUs);

    /**
     * A client's request arrived; exactly one final answer is owed to it.
     *
     * @throws IllegalArgumentException if its class or tenant is not in the settings, or its id is in use
     */
    void onRequest(long nowUs, BalancerRequest request);

    /** An attempt ended. Unknown attempts are ignored. */
    void onOutcome(long nowUs, AttemptOutcome outcome);

    /**
     * The request is bound to this attempt: part of its answer has gone to the client, or part of the request is held
     * by nobody but the server. It has no deadline from here on.
     */
    void onFirstByte(long nowUs, long requestId, int attempt);

    /** The client has left; nothing more is owed. Unknown ids are ignored. */
    void onClientGone(long nowUs, long requestId);

    /** A probe ended; {@code report} as in {@link AttemptOutcome}. */
    default void onProbe(long nowUs, String serverId, AttemptResult result, long latencyUs, LoadReport report) {
        // Only a balancer that asks for probes has a use for their results.
    }

    /** The timer set by {@link BalancerActions#wakeAt} fired. */
    void onWake(long nowUs);

    /**
     * New settings apply from now on. Open requests keep the rules of their class; classes and tenants keep their
     * indexes, new ones follow behind, and zones and load report fields are unchanged.
     *
     * @throws IllegalArgumentException if a setting is out of range; then nothing changes
     */
    void onSettings(long nowUs, BalancerSettings settings);

    /** The complete set of servers that operators have cordoned, whatever the endpoint list says. */
    void onCordoned(long nowUs, Set<String> serverIds);

    /** How many servers of the list are cordoned or ejected, for all classes or for one. */
    int excludedServers();
}
